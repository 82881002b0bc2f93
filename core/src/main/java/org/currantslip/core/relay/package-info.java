/** Relays whole requests to peers while a node has no path to endpoints, and serves such relays. */
@NullMarked
package org.currantslip.core.relay;

import org.jspecify.annotations.NullMarked;
