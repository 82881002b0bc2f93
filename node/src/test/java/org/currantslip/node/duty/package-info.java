/** Tests of the decision thread and its task queues. */
@NullMarked
package org.currantslip.node.duty;

import org.jspecify.annotations.NullMarked;
