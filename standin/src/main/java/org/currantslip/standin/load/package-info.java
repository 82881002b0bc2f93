/** The load driver. */
@NullMarked
package org.currantslip.standin.load;

import org.jspecify.annotations.NullMarked;
