/** The bench module. */
@NullMarked
package org.currantslip.bench;

import org.jspecify.annotations.NullMarked;
