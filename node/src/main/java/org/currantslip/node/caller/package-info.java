/** The HTTP front door for callers. */
@NullMarked
package org.currantslip.node.caller;

import org.jspecify.annotations.NullMarked;
