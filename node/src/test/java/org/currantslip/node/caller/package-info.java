/** Tests of the HTTP server for callers. */
@NullMarked
package org.currantslip.node.caller;

import org.jspecify.annotations.NullMarked;
