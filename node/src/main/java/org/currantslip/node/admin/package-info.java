/** The administration API, served on a separate port. */
@NullMarked
package org.currantslip.node.admin;

import org.jspecify.annotations.NullMarked;
