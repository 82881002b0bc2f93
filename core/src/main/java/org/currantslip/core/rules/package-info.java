/** Parsing and evaluation of the operators' rules file. */
@NullMarked
package org.currantslip.core.rules;

import org.jspecify.annotations.NullMarked;
