/** Experiments on cost at the quality target. */
@NullMarked
package org.currantslip.bench.cascade;

import org.jspecify.annotations.NullMarked;
