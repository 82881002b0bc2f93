/** Metrics and their Prometheus page. */
@NullMarked
package org.currantslip.node.metrics;

import org.jspecify.annotations.NullMarked;
