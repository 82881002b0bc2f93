/** Choice of an endpoint. */
@NullMarked
package org.currantslip.core.routing;

import org.jspecify.annotations.NullMarked;
