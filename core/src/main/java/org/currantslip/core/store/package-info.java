/** Store calls guarded by deadlines and a circuit breaker. */
@NullMarked
package org.currantslip.core.store;

import org.jspecify.annotations.NullMarked;
