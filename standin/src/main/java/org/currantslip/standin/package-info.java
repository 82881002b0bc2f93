/** The standin module. */
@NullMarked
package org.currantslip.standin;

import org.jspecify.annotations.NullMarked;
