/** Processor time, wake-ups and memory that an edge node needs per request. */
@NullMarked
package org.currantslip.bench.cost;

import org.jspecify.annotations.NullMarked;
