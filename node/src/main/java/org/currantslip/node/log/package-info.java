/** Logging of numbered events and the configuration of the log. */
@NullMarked
package org.currantslip.node.log;

import org.jspecify.annotations.NullMarked;
