/** Tests of the package of the same name. */
@NullMarked
package org.currantslip.node.duty;

import org.jspecify.annotations.NullMarked;
