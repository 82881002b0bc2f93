/** Experiments on the cost and the propagation time of membership by fleet size. */
@NullMarked
package org.currantslip.bench.membership;

import org.jspecify.annotations.NullMarked;
