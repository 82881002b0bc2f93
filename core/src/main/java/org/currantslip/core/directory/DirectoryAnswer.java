package org.currantslip.core.directory;

import com.google.common.collect.ImmutableList;

/**
 * Answer to a look-up.
 *
 * @param addresses addresses of the nodes to use, in no order of preference
 */
public record DirectoryAnswer(ImmutableList<String> addresses, LookUpResult result) {}
