/** Wiring of a node that passes callers' requests on to the endpoints of their routes. */
@NullMarked
package org.currantslip.node.edge;

import org.jspecify.annotations.NullMarked;
