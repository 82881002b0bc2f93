package org.currantslip.core.route;

import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param name account name, empty for callers without an API key
 * @param priority priority rank that overrides the rank of the route, if set
 */
public record Account(String name, OptionalInt priority) {
  private static final Account ANONYMOUS = new Account("", OptionalInt.empty());

  /** Returns the account of callers on routes that do not require an API key. */
  public static Account anonymous() {
    return ANONYMOUS;
  }
}
