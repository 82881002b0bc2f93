/** The router process: its command line and life cycle. */
@NullMarked
package org.currantslip.node;

import org.jspecify.annotations.NullMarked;
