/** The cli module. */
@NullMarked
package org.currantslip.cli;

import org.jspecify.annotations.NullMarked;
