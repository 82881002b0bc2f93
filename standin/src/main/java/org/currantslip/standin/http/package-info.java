/** HTTP server of the stand-ins with fault injection. */
@NullMarked
package org.currantslip.standin.http;

import org.jspecify.annotations.NullMarked;
