/** The command-line tool for operators, {@code currantslip}. */
@NullMarked
package org.currantslip.cli;

import org.jspecify.annotations.NullMarked;
