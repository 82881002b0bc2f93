/** Interfaces through which the core accesses external systems. */
@NullMarked
package org.currantslip.core.port;

import org.jspecify.annotations.NullMarked;
