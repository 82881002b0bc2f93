/** Contracts of the platform interfaces, run against the stand-ins. */
@NullMarked
package org.currantslip.standin.contract;

import org.jspecify.annotations.NullMarked;
