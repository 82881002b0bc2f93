/** Admission control, rate limits and retry budgets. */
@NullMarked
package org.currantslip.core.limits;

import org.jspecify.annotations.NullMarked;
