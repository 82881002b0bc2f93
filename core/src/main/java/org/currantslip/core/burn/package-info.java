/** Service levels of client accounts and tasks, and the burn rates of their error budgets. */
@NullMarked
package org.currantslip.core.burn;

import org.jspecify.annotations.NullMarked;
