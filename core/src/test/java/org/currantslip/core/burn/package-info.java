/** Tests of the burn report. */
@NullMarked
package org.currantslip.core.burn;

import org.jspecify.annotations.NullMarked;
