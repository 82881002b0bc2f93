/** Service levels of client accounts and tasks, and how fast their error budgets burn. */
@NullMarked
package org.currantslip.core.burn;

import org.jspecify.annotations.NullMarked;
