/** The accepted configuration and its distribution to all nodes. */
@NullMarked
package org.currantslip.core.config;

import org.jspecify.annotations.NullMarked;
