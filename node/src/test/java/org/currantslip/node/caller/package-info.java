/** Tests of the package of the same name. */
@NullMarked
package org.currantslip.node.caller;

import org.jspecify.annotations.NullMarked;
