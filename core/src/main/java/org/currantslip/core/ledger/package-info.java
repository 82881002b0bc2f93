/** At-most-once execution. */
@NullMarked
package org.currantslip.core.ledger;

import org.jspecify.annotations.NullMarked;
