/** Orders to send nothing more to the endpoints of a failure domain. */
@NullMarked
package org.currantslip.core.evacuation;

import org.jspecify.annotations.NullMarked;
