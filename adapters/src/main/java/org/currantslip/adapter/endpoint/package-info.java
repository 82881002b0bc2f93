/** Calls to model engines and other services, and their load reports. */
@NullMarked
package org.currantslip.adapter.endpoint;

import org.jspecify.annotations.NullMarked;
