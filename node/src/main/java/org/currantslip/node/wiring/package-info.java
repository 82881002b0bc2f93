/** The composition of a node from its parts. */
@NullMarked
package org.currantslip.node.wiring;

import org.jspecify.annotations.NullMarked;
