/** The operators' command, currantslip. */
@NullMarked
package org.currantslip.cli;

import org.jspecify.annotations.NullMarked;
