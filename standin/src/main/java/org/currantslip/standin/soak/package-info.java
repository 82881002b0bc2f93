/** Soak test that injects random faults into real node processes and checks guarantees. */
@NullMarked
package org.currantslip.standin.soak;

import org.jspecify.annotations.NullMarked;
