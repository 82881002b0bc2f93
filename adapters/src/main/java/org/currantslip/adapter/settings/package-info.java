/** Parses settings files and validates them against the schema. */
@NullMarked
package org.currantslip.adapter.settings;

import org.jspecify.annotations.NullMarked;
