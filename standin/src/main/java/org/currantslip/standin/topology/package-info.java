/** Several stand-ins in one process. */
@NullMarked
package org.currantslip.standin.topology;

import org.jspecify.annotations.NullMarked;
