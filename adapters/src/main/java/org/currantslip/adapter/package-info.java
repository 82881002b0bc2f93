/** The platform module. */
@NullMarked
package org.currantslip.adapter;

import org.jspecify.annotations.NullMarked;
