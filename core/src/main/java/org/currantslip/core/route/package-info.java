/** Routes by host and path, and the accounts, services and limits that belong to them. */
@NullMarked
package org.currantslip.core.route;

import org.jspecify.annotations.NullMarked;
