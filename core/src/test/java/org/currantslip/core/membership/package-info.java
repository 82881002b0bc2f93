/** Tests of membership on a manually driven clock. */
@NullMarked
package org.currantslip.core.membership;

import org.jspecify.annotations.NullMarked;
