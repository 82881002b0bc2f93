/** Experiments on the propagation time of configuration changes and the load on the store. */
@NullMarked
package org.currantslip.bench.config;

import org.jspecify.annotations.NullMarked;
