/** Decisions of a node that starts: its warm-up, and how much a node accepts at its speed. */
@NullMarked
package org.currantslip.core.start;

import org.jspecify.annotations.NullMarked;
