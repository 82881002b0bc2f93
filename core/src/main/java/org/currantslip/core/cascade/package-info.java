/** Selection of the model tier that answers a request. */
@NullMarked
package org.currantslip.core.cascade;

import org.jspecify.annotations.NullMarked;
