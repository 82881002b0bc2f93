/** Interfaces through which decisions reach the outside. */
@NullMarked
package org.currantslip.core.port;

import org.jspecify.annotations.NullMarked;
