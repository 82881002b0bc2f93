/** Creates the components of a node and connects them. */
@NullMarked
package org.currantslip.node.wiring;

import org.jspecify.annotations.NullMarked;
