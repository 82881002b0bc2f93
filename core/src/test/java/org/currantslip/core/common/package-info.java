/** Tests of what all packages share. */
@NullMarked
package org.currantslip.core.common;

import org.jspecify.annotations.NullMarked;
