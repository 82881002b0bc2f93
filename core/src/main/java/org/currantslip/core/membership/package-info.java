/** Nodes, their liveness, and endpoints. */
@NullMarked
package org.currantslip.core.membership;

import org.jspecify.annotations.NullMarked;
