/** Adapter of the object API. */
@NullMarked
package org.currantslip.adapter.store;

import org.jspecify.annotations.NullMarked;
