package org.currantslip.core.route;

/** Holds the newest table; safe for use by several threads. */
public final class RouteHolder implements RouteSource {
  private volatile RouteTable table = RouteTable.none();

  private RouteHolder() {}

  /** Returns a holder without a configuration. */
  public static RouteHolder create() {
    return new RouteHolder();
  }

  @Override
  public RouteTable current() {
    return table;
  }

  /** Puts a table in force if it is newer; returns whether it was. */
  public synchronized boolean offer(RouteTable offered) {
    if (offered.version() <= table.version()) {
      return false;
    }
    table = offered;
    return true;
  }
}
