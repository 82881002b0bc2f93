/** Answers to callers that look up which nodes to use. */
@NullMarked
package org.currantslip.core.directory;

import org.jspecify.annotations.NullMarked;
