/** At-most-once execution of requests with an idempotency key. */
@NullMarked
package org.currantslip.core.ledger;

import org.jspecify.annotations.NullMarked;
