package org.currantslip.core.route;

/** What may be repeated of a route's requests. */
public enum RouteKind {
  /** Idempotent: may run more than once. */
  SAFE,
  /** Runs at most once. */
  UNSAFE,
  /** Answered by a stream of events; runs at most once unless the route is resumable. */
  STREAMING
}
