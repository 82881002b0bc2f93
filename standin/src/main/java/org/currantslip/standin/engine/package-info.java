/** Fake model engine. */
@NullMarked
package org.currantslip.standin.engine;

import org.jspecify.annotations.NullMarked;
