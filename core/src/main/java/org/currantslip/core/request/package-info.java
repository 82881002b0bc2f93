/** The life of one request. */
@NullMarked
package org.currantslip.core.request;

import org.jspecify.annotations.NullMarked;
