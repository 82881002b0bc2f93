/** Adapters that connect the core to HTTP services, endpoints and settings files. */
@NullMarked
package org.currantslip.adapter;

import org.jspecify.annotations.NullMarked;
