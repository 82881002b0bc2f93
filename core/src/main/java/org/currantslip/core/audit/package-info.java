/** Records of why each request ran or was refused. */
@NullMarked
package org.currantslip.core.audit;

import org.jspecify.annotations.NullMarked;
