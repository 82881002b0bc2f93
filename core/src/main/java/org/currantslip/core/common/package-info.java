/** Types shared by all packages of the core. */
@NullMarked
package org.currantslip.core.common;

import org.jspecify.annotations.NullMarked;
