/** Whole request paths of several nodes over fakes, for fault matrices and random faults. */
@NullMarked
package org.currantslip.core.fleet;

import org.jspecify.annotations.NullMarked;
