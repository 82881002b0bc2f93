package org.currantslip.node.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of all request bodies held at once. */
final class BodyBudget {
  private final long maxBytes;
  private final AtomicLong heldBytes = new AtomicLong();

  private BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  static BodyBudget ofBytes(long maxBytes) {
    return new BodyBudget(maxBytes);
  }

  /** Sets bytes aside; returns false when too many are held already. */
  boolean take(long bytes) {
    if (heldBytes.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    heldBytes.addAndGet(-bytes);
    return false;
  }

  /** Gives bytes back that were set aside. */
  void giveBack(long bytes) {
    heldBytes.addAndGet(-bytes);
  }
}
