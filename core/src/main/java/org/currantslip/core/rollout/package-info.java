/** Roll-out stages, brakes and the controller's lease. */
@NullMarked
package org.currantslip.core.rollout;

import org.jspecify.annotations.NullMarked;
