/** Tests of the command-line tool for operators. */
@NullMarked
package org.currantslip.cli;

import org.jspecify.annotations.NullMarked;
