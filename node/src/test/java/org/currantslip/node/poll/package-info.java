/** Tests of periodic polling and peer reports. */
@NullMarked
package org.currantslip.node.poll;

import org.jspecify.annotations.NullMarked;
