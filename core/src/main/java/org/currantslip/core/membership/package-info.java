/** Node membership, failure detection and planned stops. */
@NullMarked
package org.currantslip.core.membership;

import org.jspecify.annotations.NullMarked;
