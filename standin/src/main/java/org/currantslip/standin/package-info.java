/** Command line of the stand-ins and of the load driver. */
@NullMarked
package org.currantslip.standin;

import org.jspecify.annotations.NullMarked;
