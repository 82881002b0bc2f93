/** The HTTP server for callers: request parsing, limits and response writing. */
@NullMarked
package org.currantslip.node.caller;

import org.jspecify.annotations.NullMarked;
