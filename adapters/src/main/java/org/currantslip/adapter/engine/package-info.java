/** Commands to model engines. */
@NullMarked
package org.currantslip.adapter.engine;

import org.jspecify.annotations.NullMarked;
