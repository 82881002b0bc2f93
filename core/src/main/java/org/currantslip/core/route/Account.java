package org.currantslip.core.route;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param name account name, empty for callers without an API key
 * @param priority priority rank that overrides the rank of the route, if set
 * @param homes regions in which its requests may be served; empty for all
 */
public record Account(String name, OptionalInt priority, ImmutableSet<String> homes) {
  private static final Account ANONYMOUS = new Account("", OptionalInt.empty());

  /** Creates an account whose requests may be served in all regions. */
  public Account(String name, OptionalInt priority) {
    this(name, priority, ImmutableSet.of());
  }

  /** Returns the account of callers on routes that do not require an API key. */
  public static Account anonymous() {
    return ANONYMOUS;
  }
}
