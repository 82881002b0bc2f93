/** How fast a change of configuration reaches the fleet, and what that costs the store. */
@NullMarked
package org.currantslip.bench.config;

import org.jspecify.annotations.NullMarked;
