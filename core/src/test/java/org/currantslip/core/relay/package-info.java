/** Tests of the relay of requests by peers. */
@NullMarked
package org.currantslip.core.relay;

import org.jspecify.annotations.NullMarked;
