/** HTTP server of the stand-ins and its fault switch. */
@NullMarked
package org.currantslip.standin.http;

import org.jspecify.annotations.NullMarked;
