/** Command line, result tables and charts of the seeded experiments. */
@NullMarked
package org.currantslip.bench;

import org.jspecify.annotations.NullMarked;
