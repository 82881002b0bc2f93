/** Tests of the operators' command. */
@NullMarked
package org.currantslip.cli;

import org.jspecify.annotations.NullMarked;
