/** Tests of the spread of configuration. */
@NullMarked
package org.currantslip.core.config;

import org.jspecify.annotations.NullMarked;
