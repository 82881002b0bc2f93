/** Random faults from outside real processes, and what callers and endpoints see of them. */
@NullMarked
package org.currantslip.standin.soak;

import org.jspecify.annotations.NullMarked;
