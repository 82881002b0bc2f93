/** Keeps requests away from endpoints if a part of their prompt makes endpoints crash. */
@NullMarked
package org.currantslip.core.quarantine;

import org.jspecify.annotations.NullMarked;
