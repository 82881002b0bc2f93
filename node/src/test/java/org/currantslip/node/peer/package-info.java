/** Tests of the package of the same name. */
@NullMarked
package org.currantslip.node.peer;

import org.jspecify.annotations.NullMarked;
