/** Session affinity to a model version. */
@NullMarked
package org.currantslip.core.session;

import org.jspecify.annotations.NullMarked;
