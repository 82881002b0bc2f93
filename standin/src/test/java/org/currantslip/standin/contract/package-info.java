/** Contract tests of the platform and endpoint clients, run against the stand-ins. */
@NullMarked
package org.currantslip.standin.contract;

import org.jspecify.annotations.NullMarked;
