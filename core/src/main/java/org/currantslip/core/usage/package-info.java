/** Usage records for exactly-once billing. */
@NullMarked
package org.currantslip.core.usage;

import org.jspecify.annotations.NullMarked;
