/** Runs several stand-ins in one process, as listed in a TOML file. */
@NullMarked
package org.currantslip.standin.topology;

import org.jspecify.annotations.NullMarked;
