/** Experiments on the cost of model cascades that meet a quality target. */
@NullMarked
package org.currantslip.bench.cascade;

import org.jspecify.annotations.NullMarked;
