/** Endpoint selection and load balancing. */
@NullMarked
package org.currantslip.core.routing;

import org.jspecify.annotations.NullMarked;
