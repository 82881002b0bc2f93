package org.currantslip.core.route;

/** The routes by which this node decides. */
public interface RouteSource {
  /** Returns the table in force; its version never goes back. */
  RouteTable current();
}
