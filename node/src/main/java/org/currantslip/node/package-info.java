/** The node module. */
@NullMarked
package org.currantslip.node;

import org.jspecify.annotations.NullMarked;
