/** Rollout stages, automatic stops and the lease of the rollout controller. */
@NullMarked
package org.currantslip.core.rollout;

import org.jspecify.annotations.NullMarked;
