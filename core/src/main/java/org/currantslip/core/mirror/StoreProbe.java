package org.currantslip.core.mirror;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.KindStore;

/**
 * Detects that the store no longer answers this node, although its watches seem to wait.
 *
 * <p>Followers of a watcher rely on it to notice, because a watch on a silent connection looks like
 * one without changes. Only a node with followers probes. A probe may wait behind a large response
 * on a slow link: a store that sends is not silent.
 */
public final class StoreProbe {
  private static final long INTERVAL_MS = 500;

  /** Exceeds the response time of a store that is slower than usual by two orders of magnitude. */
  private static final long TIMEOUT_MS = 600;

  private final KindStore store;
  private final BooleanSupplier hasFollowers;
  private final Clock clock;
  private final Runnable silenceListener;
  private boolean inFlight;
  private long currentProbe;
  private long deadlineMs;
  private long nextProbeMs;
  private long receivedParts;

  private StoreProbe(
      KindStore store, BooleanSupplier hasFollowers, Clock clock, Runnable silenceListener) {
    this.store = store;
    this.hasFollowers = hasFollowers;
    this.clock = clock;
    this.silenceListener = silenceListener;
  }

  /**
   * Returns a probe of a store.
   *
   * @param hasFollowers whether other nodes rely on this node's watches
   * @param silenceListener called when a probe failed or was not answered in time
   */
  public static StoreProbe create(
      KindStore store, BooleanSupplier hasFollowers, Clock clock, Runnable silenceListener) {
    return new StoreProbe(store, hasFollowers, clock, silenceListener);
  }

  /** Starts a due probe and gives up on one that was not answered. */
  public void tick() {
    long nowMs = clock.nowMs();
    if (inFlight && nowMs >= deadlineMs) {
      if (hasReceived()) {
        deadlineMs = nowMs + TIMEOUT_MS;
      } else {
        onResult(currentProbe, false);
      }
    }
    if (inFlight || nowMs < nextProbeMs || !hasFollowers.getAsBoolean()) {
      return;
    }
    inFlight = true;
    deadlineMs = nowMs + TIMEOUT_MS;
    nextProbeMs = nowMs + INTERVAL_MS;
    receivedParts = store.receivedParts();
    long probe = ++currentProbe;
    CompletableFuture<Long> unused =
        store.probe().whenComplete((answer, failure) -> onResult(probe, failure == null));
  }

  private void onResult(long probe, boolean answered) {
    if (probe != currentProbe || !inFlight) {
      return;
    }
    inFlight = false;
    if (!answered && !hasReceived()) {
      silenceListener.run();
    }
  }

  /** Returns whether any part of a response has arrived since the previous check. */
  private boolean hasReceived() {
    long before = receivedParts;
    receivedParts = store.receivedParts();
    return receivedParts != before;
  }
}
