/** Tests of the administration API. */
@NullMarked
package org.currantslip.node.admin;

import org.jspecify.annotations.NullMarked;
