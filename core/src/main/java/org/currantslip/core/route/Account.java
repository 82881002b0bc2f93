package org.currantslip.core.route;

import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param name its name, empty for callers without a key
 * @param priority rank that goes before the route's, if there is one
 */
public record Account(String name, OptionalInt priority) {
  private static final Account ANONYMOUS = new Account("", OptionalInt.empty());

  /** Returns the account of callers on routes that need no key. */
  public static Account anonymous() {
    return ANONYMOUS;
  }
}
