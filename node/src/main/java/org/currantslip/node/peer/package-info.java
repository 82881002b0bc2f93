/** Links to other nodes. */
@NullMarked
package org.currantslip.node.peer;

import org.jspecify.annotations.NullMarked;
