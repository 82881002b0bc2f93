/** Deterministic fakes of the ports for tests and simulations. */
@NullMarked
package org.currantslip.core.fake;

import org.jspecify.annotations.NullMarked;
