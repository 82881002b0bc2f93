/** Guarded use of the platform's object API. */
@NullMarked
package org.currantslip.core.store;

import org.jspecify.annotations.NullMarked;
