/** What differs between the protocols that callers speak. */
@NullMarked
package org.currantslip.adapter.caller;

import org.jspecify.annotations.NullMarked;
