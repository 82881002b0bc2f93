/** Experiments on the exposure to bad versions. */
@NullMarked
package org.currantslip.bench.exposure;

import org.jspecify.annotations.NullMarked;
