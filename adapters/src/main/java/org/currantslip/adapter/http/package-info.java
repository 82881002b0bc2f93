/** HTTP client configuration and exchanges with buffered bodies. */
@NullMarked
package org.currantslip.adapter.http;

import org.jspecify.annotations.NullMarked;
