/** Cost and speed of membership by fleet size. */
@NullMarked
package org.currantslip.bench.membership;

import org.jspecify.annotations.NullMarked;
