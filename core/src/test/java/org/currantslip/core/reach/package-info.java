/** Tests of the detection of a lost path to endpoints. */
@NullMarked
package org.currantslip.core.reach;

import org.jspecify.annotations.NullMarked;
