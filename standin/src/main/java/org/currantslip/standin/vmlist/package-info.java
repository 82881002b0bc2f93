/** Fake VM list. */
@NullMarked
package org.currantslip.standin.vmlist;

import org.jspecify.annotations.NullMarked;
