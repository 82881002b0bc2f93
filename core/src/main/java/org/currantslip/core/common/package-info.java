/** Types shared by every decision package. */
@NullMarked
package org.currantslip.core.common;

import org.jspecify.annotations.NullMarked;
