/** Stand-in of the object API. */
@NullMarked
package org.currantslip.standin.object;

import org.jspecify.annotations.NullMarked;
