/** Assembly of an edge node, which forwards callers' requests to the endpoints of their routes. */
@NullMarked
package org.currantslip.node.edge;

import org.jspecify.annotations.NullMarked;
