/** Command line and life cycle of the router process. */
@NullMarked
package org.currantslip.node;

import org.jspecify.annotations.NullMarked;
