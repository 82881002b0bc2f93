/** Tests of the settings. */
@NullMarked
package org.currantslip.adapter.settings;

import org.jspecify.annotations.NullMarked;
