/** Client for the rating service. */
@NullMarked
package org.currantslip.adapter.rating;

import org.jspecify.annotations.NullMarked;
