/** Fake object API of the platform. */
@NullMarked
package org.currantslip.standin.object;

import org.jspecify.annotations.NullMarked;
