package org.currantslip.core.relay;

import java.util.concurrent.atomic.LongAdder;

/** Counts of relayed requests; may be read on any thread. */
public final class RelayCounts {
  private final LongAdder sent = new LongAdder();
  private final LongAdder accepted = new LongAdder();
  private final LongAdder refused = new LongAdder();

  private RelayCounts() {}

  /** Returns counts of zero. */
  public static RelayCounts create() {
    return new RelayCounts();
  }

  void onSent() {
    sent.increment();
  }

  void onAccepted() {
    accepted.increment();
  }

  void onRefused() {
    refused.increment();
  }

  /** Returns how many requests were handed to peers. */
  public long sent() {
    return sent.sum();
  }

  /** Returns how many requests of peers were accepted. */
  public long accepted() {
    return accepted.sum();
  }

  /** Returns how many requests of peers were refused. */
  public long refused() {
    return refused.sum();
  }
}
