/** Choice of a cascade tier. */
@NullMarked
package org.currantslip.core.cascade;

import org.jspecify.annotations.NullMarked;
