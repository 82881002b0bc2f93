/** The administration API on its own port. */
@NullMarked
package org.currantslip.node.admin;

import org.jspecify.annotations.NullMarked;
