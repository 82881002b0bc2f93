/** Metrics of a node and their export to Prometheus. */
@NullMarked
package org.currantslip.node.metrics;

import org.jspecify.annotations.NullMarked;
