package org.currantslip.core.route;

/** Specifies which requests of a route may be repeated. */
public enum RouteKind {
  /** Idempotent; may run more than once. */
  SAFE,
  /** Runs at most once. */
  UNSAFE,
  /** Answered with an event stream; runs at most once unless the route is resumable. */
  STREAMING
}
