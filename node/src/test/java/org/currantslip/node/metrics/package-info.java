/** Tests of the metrics and their documentation. */
@NullMarked
package org.currantslip.node.metrics;

import org.jspecify.annotations.NullMarked;
