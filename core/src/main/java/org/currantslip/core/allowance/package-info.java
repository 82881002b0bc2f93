/** Bounds on the requests that all nodes together send to an endpoint. */
@NullMarked
package org.currantslip.core.allowance;

import org.jspecify.annotations.NullMarked;
