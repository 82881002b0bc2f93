/** Tests of configuration distribution. */
@NullMarked
package org.currantslip.core.config;

import org.jspecify.annotations.NullMarked;
