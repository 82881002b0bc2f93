/** Tests of the log events and their encoding. */
@NullMarked
package org.currantslip.node.log;

import org.jspecify.annotations.NullMarked;
