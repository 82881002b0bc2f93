/** Every decision of the router, free of I/O, threads and system time. */
@NullMarked
package org.currantslip.core;

import org.jspecify.annotations.NullMarked;
