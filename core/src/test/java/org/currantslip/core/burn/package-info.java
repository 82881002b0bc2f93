/** Tests of the burn rate report. */
@NullMarked
package org.currantslip.core.burn;

import org.jspecify.annotations.NullMarked;
