package org.currantslip.core.route;

/** Provides the route table in force on this node. */
public interface RouteSource {
  /** Returns the current table; its version never decreases. */
  RouteTable current();
}
