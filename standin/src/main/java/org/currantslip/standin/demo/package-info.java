/** The steps of the demonstration. */
@NullMarked
package org.currantslip.standin.demo;

import org.jspecify.annotations.NullMarked;
