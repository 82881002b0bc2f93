/** Tests of the peer links. */
@NullMarked
package org.currantslip.node.peer;

import org.jspecify.annotations.NullMarked;
