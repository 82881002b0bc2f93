/** Client for the weight store. */
@NullMarked
package org.currantslip.adapter.weights;

import org.jspecify.annotations.NullMarked;
