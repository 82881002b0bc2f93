/** Tests of membership on a driven clock. */
@NullMarked
package org.currantslip.core.membership;

import org.jspecify.annotations.NullMarked;
