/** HTTP client that calls nodes, for the demonstration and the load driver. */
@NullMarked
package org.currantslip.standin.caller;

import org.jspecify.annotations.NullMarked;
