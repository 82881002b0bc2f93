/** HTTP client set-up and whole-body exchanges. */
@NullMarked
package org.currantslip.adapter.http;

import org.jspecify.annotations.NullMarked;
