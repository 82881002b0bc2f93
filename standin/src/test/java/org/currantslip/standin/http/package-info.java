/** Tests of the stand-ins' server and fault switch. */
@NullMarked
package org.currantslip.standin.http;

import org.jspecify.annotations.NullMarked;
