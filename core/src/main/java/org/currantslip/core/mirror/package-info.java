/** Mirrors of the store's objects on every node, kept current by watches and by peers. */
@NullMarked
package org.currantslip.core.mirror;

import org.jspecify.annotations.NullMarked;
