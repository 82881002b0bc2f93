/** Fake rating service. */
@NullMarked
package org.currantslip.standin.rating;

import org.jspecify.annotations.NullMarked;
