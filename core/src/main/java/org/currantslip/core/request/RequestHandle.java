package org.currantslip.core.request;

/** Handle by which the caller's connection controls an active request. */
@FunctionalInterface
public interface RequestHandle {
  /** Signals that the caller has disconnected; nothing more is sent to it. */
  void onCallerDisconnected();
}
