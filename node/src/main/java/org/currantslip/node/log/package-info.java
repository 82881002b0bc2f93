/** Numbered log events and the form of the log. */
@NullMarked
package org.currantslip.node.log;

import org.jspecify.annotations.NullMarked;
