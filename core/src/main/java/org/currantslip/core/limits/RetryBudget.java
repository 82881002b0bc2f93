package org.currantslip.core.limits;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.currantslip.core.common.Clock;

/**
 * Bounds how many requests of a service are sent to a second endpoint, summed over all nodes.
 *
 * <p>Nodes do not tell each other what they send. Each takes a part of the slack and its own
 * requests' share, with a margin for nodes that count fewer peers than there are.
 */
public final class RetryBudget {
  /** Part of the stated bound that is used; the rest covers requests counted at another window. */
  private static final double MARGIN = 0.7;

  private static final int SLICES = 10;

  /**
   * The bound over all nodes.
   *
   * @param ratio sends beyond the first, per request
   * @param slack sends beyond that
   * @param windowMs time over which both are counted
   */
  public record Bound(double ratio, double slack, long windowMs) {}

  private final Clock clock;
  private final Bound bound;
  private final IntSupplier liveNodes;
  private final Map<String, Window> windows = new HashMap<>();
  private int mostNodes = 1;

  private RetryBudget(Clock clock, Bound bound, IntSupplier liveNodes) {
    this.clock = clock;
    this.bound = bound;
    this.liveNodes = liveNodes;
  }

  /** Returns a budget without any use. */
  public static RetryBudget create(Clock clock, Bound bound, IntSupplier liveNodes) {
    return new RetryBudget(clock, bound, liveNodes);
  }

  /** Counts a request for a service. */
  public void request(String service) {
    window(service).add(1, 0);
  }

  /** Counts one more send if it is within the budget; returns whether it was. */
  public boolean trySpend(String service) {
    // A node cut from its peers counts few of them; the others still spend their parts.
    mostNodes = Math.max(mostNodes, Math.max(1, liveNodes.getAsInt()));
    Window window = window(service);
    double allowed = MARGIN * (bound.ratio() * window.requests() + bound.slack() / mostNodes);
    if (window.spent() + 1 > allowed) {
      return false;
    }
    window.add(0, 1);
    return true;
  }

  private Window window(String service) {
    Window window = windows.computeIfAbsent(service, s -> new Window());
    window.turnTo(clock.nowMs() * SLICES / Math.max(1, bound.windowMs()));
    return window;
  }

  /** Counts over the last window, in slices. */
  private static final class Window {
    private final long[] requests = new long[SLICES];
    private final long[] spent = new long[SLICES];
    private long slice;

    private void turnTo(long now) {
      long from = Math.max(slice + 1, now - SLICES + 1);
      for (long s = from; s <= now; s++) {
        requests[(int) (s % SLICES)] = 0;
        spent[(int) (s % SLICES)] = 0;
      }
      slice = Math.max(slice, now);
    }

    private void add(long moreRequests, long moreSpent) {
      requests[(int) (slice % SLICES)] += moreRequests;
      spent[(int) (slice % SLICES)] += moreSpent;
    }

    private long requests() {
      return Arrays.stream(requests).sum();
    }

    private long spent() {
      return Arrays.stream(spent).sum();
    }
  }
}
