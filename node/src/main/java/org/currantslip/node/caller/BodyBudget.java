package org.currantslip.node.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total memory of the request bodies that are buffered at the same time. */
final class BodyBudget {
  private final long maxBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  private BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  static BodyBudget ofBytes(long maxBytes) {
    return new BodyBudget(maxBytes);
  }

  /** Reserves bytes; returns false if the reservation would exceed the limit. */
  boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /** Releases reserved bytes. */
  void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }
}
