/** The decision thread and the rings that feed it. */
@NullMarked
package org.currantslip.node.duty;

import org.jspecify.annotations.NullMarked;
