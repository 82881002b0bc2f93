package org.currantslip.core.request;

/** A request under way, as its caller's connection sees it. */
@FunctionalInterface
public interface RequestHandle {
  /** Tells that the caller has hung up; nothing is sent to it any more. */
  void callerGone();
}
