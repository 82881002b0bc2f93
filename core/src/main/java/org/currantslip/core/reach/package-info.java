/** Decides whether this node has a path to endpoints. */
@NullMarked
package org.currantslip.core.reach;

import org.jspecify.annotations.NullMarked;
