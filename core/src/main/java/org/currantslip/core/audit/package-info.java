/** Decision records that explain why each request was run or refused. */
@NullMarked
package org.currantslip.core.audit;

import org.jspecify.annotations.NullMarked;
