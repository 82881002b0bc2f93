/** Tests of the checks of the soak. */
@NullMarked
package org.currantslip.standin.soak;

import org.jspecify.annotations.NullMarked;
