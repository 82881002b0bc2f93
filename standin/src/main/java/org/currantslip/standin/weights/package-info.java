/** Fake weight store. */
@NullMarked
package org.currantslip.standin.weights;

import org.jspecify.annotations.NullMarked;
