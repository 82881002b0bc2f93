/** Tests of the fault injection of the stand-ins. */
@NullMarked
package org.currantslip.standin.http;

import org.jspecify.annotations.NullMarked;
