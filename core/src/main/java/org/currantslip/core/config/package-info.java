/** The accepted configuration and its spread. */
@NullMarked
package org.currantslip.core.config;

import org.jspecify.annotations.NullMarked;
