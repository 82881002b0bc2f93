/** Experiments on the exposure of requests to bad versions before they are stopped. */
@NullMarked
package org.currantslip.bench.exposure;

import org.jspecify.annotations.NullMarked;
