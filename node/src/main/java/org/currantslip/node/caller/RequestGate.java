package org.currantslip.node.caller;

/** Admits requests until it is closed; each request is either counted before that or rejected. */
final class RequestGate {
  private boolean closed;
  private int admittedCount;

  private RequestGate() {}

  static RequestGate create() {
    return new RequestGate();
  }

  /** Counts a request as admitted until {@link #leave}; returns false if the gate is closed. */
  synchronized boolean tryEnter() {
    if (closed) {
      return false;
    }
    admittedCount++;
    return true;
  }

  synchronized void leave() {
    admittedCount--;
  }

  synchronized void close() {
    closed = true;
  }

  synchronized boolean isClosed() {
    return closed;
  }

  synchronized int admittedCount() {
    return admittedCount;
  }
}
