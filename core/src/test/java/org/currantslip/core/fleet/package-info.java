/** Tests of the full request path on several nodes with fakes: fault matrix and random faults. */
@NullMarked
package org.currantslip.core.fleet;

import org.jspecify.annotations.NullMarked;
