/** Routes by host and path, with their accounts, services and limits. */
@NullMarked
package org.currantslip.core.route;

import org.jspecify.annotations.NullMarked;
