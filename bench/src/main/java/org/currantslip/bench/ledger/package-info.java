/** Experiments on the store load and latency of the ledger and of the usage spool. */
@NullMarked
package org.currantslip.bench.ledger;

import org.jspecify.annotations.NullMarked;
