/** Tests of the rules file. */
@NullMarked
package org.currantslip.core.rules;

import org.jspecify.annotations.NullMarked;
