/** Authenticated links to other nodes, and the requests and replies sent over them. */
@NullMarked
package org.currantslip.node.peer;

import org.jspecify.annotations.NullMarked;
