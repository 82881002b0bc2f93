/** Load driver with open and closed loop. */
@NullMarked
package org.currantslip.standin.load;

import org.jspecify.annotations.NullMarked;
