/** Interfaces implemented by each caller-facing protocol. */
@NullMarked
package org.currantslip.adapter.caller;

import org.jspecify.annotations.NullMarked;
