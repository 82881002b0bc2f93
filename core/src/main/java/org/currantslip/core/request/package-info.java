/** Request processing, from admission to the final response. */
@NullMarked
package org.currantslip.core.request;

import org.jspecify.annotations.NullMarked;
