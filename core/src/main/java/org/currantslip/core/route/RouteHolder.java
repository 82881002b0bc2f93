package org.currantslip.core.route;

/** Holds the newest route table; thread-safe. */
public final class RouteHolder implements RouteSource {
  private volatile RouteTable table = RouteTable.none();

  private RouteHolder() {}

  /** Creates a holder without a configuration. */
  public static RouteHolder create() {
    return new RouteHolder();
  }

  @Override
  public RouteTable current() {
    return table;
  }

  /** Replaces the table if the candidate is newer, and returns whether it was replaced. */
  public synchronized boolean replaceIfNewer(RouteTable candidate) {
    if (candidate.version() <= table.version()) {
      return false;
    }
    table = candidate;
    return true;
  }
}
