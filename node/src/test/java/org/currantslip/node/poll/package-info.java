/** Tests of the package of the same name. */
@NullMarked
package org.currantslip.node.poll;

import org.jspecify.annotations.NullMarked;
