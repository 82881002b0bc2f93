/** Periodic polling of the platform, and reports to other nodes. */
@NullMarked
package org.currantslip.node.poll;

import org.jspecify.annotations.NullMarked;
