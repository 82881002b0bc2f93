package org.currantslip.core.evacuation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.membership.NodeRanking;
import org.currantslip.schema.NodeRecord;

/**
 * Writes the status of evacuation orders.
 *
 * <p>All nodes derive the same order of candidates from a hash. A candidate acts if the candidates
 * ranked before it have left a due status unwritten for a while, so that a crashed node is replaced
 * without an election. Each write is conditional on the store version of the object, so a late
 * write of a stalled node is rejected.
 *
 * <p>An order is complete once it has been in force for the time within which it takes effect on
 * all nodes that have contact. Streams that run on do not delay it.
 */
public final class EvacuationController {
  /** Writes the status of an order. */
  @FunctionalInterface
  public interface StatusWriter {
    /** Writes the state if the stored order still has the given store version. */
    CompletableFuture<Long> write(EvacuationOrder order, EvacuationOrder.State state);
  }

  private static final String RANKING_GROUP = "evacuation";

  /** With the delay below, three nodes may be dead and the status is written within a second. */
  private static final int MAX_CANDIDATES = 4;

  /** Exceeds the time that a write and its report by the mirror usually take. */
  private static final long TAKEOVER_DELAY_MS = 250;

  private static final long RETRY_DELAY_MS = 250;

  /** Time after which a write without a response is abandoned. */
  private static final long WRITE_TIMEOUT_MS = 1_000;

  private final Membership membership;
  private final Evacuations evacuations;
  private final StatusWriter writer;
  private final Clock clock;
  private final long effectMs;
  private final Map<String, OrderState> orderStates = new HashMap<>();
  private final Map<String, List<String>> candidatesByDomain = new HashMap<>();
  private List<NodeRecord> rankedNodes = List.of();

  private EvacuationController(
      Membership membership,
      Evacuations evacuations,
      StatusWriter writer,
      Clock clock,
      long effectMs) {
    this.membership = membership;
    this.evacuations = evacuations;
    this.writer = writer;
    this.clock = clock;
    this.effectMs = effectMs;
  }

  /**
   * Creates an instance.
   *
   * @param effectMs time within which an order takes effect on all nodes that have contact
   */
  public static EvacuationController create(
      Membership membership,
      Evacuations evacuations,
      StatusWriter writer,
      Clock clock,
      long effectMs) {
    return new EvacuationController(membership, evacuations, writer, clock, effectMs);
  }

  /** Writes each due status if it is this node's turn. */
  public void tick() {
    List<Evacuations.Held> orders = evacuations.orders();
    orderStates.keySet().retainAll(evacuations.domains());
    orders.stream()
        .filter(held -> held.presence() == Evacuations.Presence.STORED)
        .forEach(this::advance);
  }

  private void advance(Evacuations.Held held) {
    EvacuationOrder order = held.order();
    long nowMs = clock.nowMs();
    OrderState orderState = orderStates.computeIfAbsent(order.domain(), d -> new OrderState());
    EvacuationOrder.State due = dueState(held, nowMs);
    if (due == order.state()) {
      orderState.dueSinceMs = -1;
      return;
    }
    if (orderState.dueSinceMs < 0) {
      orderState.dueSinceMs = nowMs;
    }
    int rank = candidates(order.domain()).indexOf(membership.self().getId().getName());
    if (rank >= 0
        && nowMs - orderState.dueSinceMs >= rank * TAKEOVER_DELAY_MS
        && !orderState.isWaiting(order, nowMs)) {
      write(order, due, orderState, nowMs);
    }
  }

  private EvacuationOrder.State dueState(Evacuations.Held held, long nowMs) {
    return switch (held.order().state()) {
      case ORDERED -> EvacuationOrder.State.IN_PROGRESS;
      case IN_PROGRESS ->
          nowMs - held.firstSeenMs() >= effectMs
              ? EvacuationOrder.State.COMPLETE
              : EvacuationOrder.State.IN_PROGRESS;
      case COMPLETE -> EvacuationOrder.State.COMPLETE;
    };
  }

  private void write(
      EvacuationOrder order, EvacuationOrder.State due, OrderState orderState, long nowMs) {
    orderState.notBeforeMs = nowMs + WRITE_TIMEOUT_MS;
    orderState.writtenVersion = order.storeVersion();
    CompletableFuture<Long> unused =
        writer
            .write(order, due)
            .whenComplete(
                (version, failure) -> {
                  if (failure != null) {
                    orderState.notBeforeMs = clock.nowMs() + RETRY_DELAY_MS;
                  }
                });
  }

  /** Returns the nodes that may write the status, those outside of the failure domain first. */
  private List<String> candidates(String domain) {
    List<NodeRecord> live = membership.live();
    if (live != rankedNodes) {
      rankedNodes = live;
      candidatesByDomain.clear();
    }
    return candidatesByDomain.computeIfAbsent(domain, d -> rank(d, live));
  }

  private static List<String> rank(String domain, List<NodeRecord> live) {
    Map<String, Boolean> evacuated = new HashMap<>();
    live.forEach(n -> evacuated.put(n.getId().getName(), n.getFailureDomain().equals(domain)));
    return NodeRanking.rank(RANKING_GROUP, domain, evacuated.keySet()).stream()
        .sorted(Comparator.comparing(evacuated::get))
        .limit(MAX_CANDIDATES)
        .toList();
  }

  /** Local state of this node for one order. */
  private static final class OrderState {
    private long dueSinceMs = -1;
    private long notBeforeMs;
    private long writtenVersion = -1;

    /** Returns whether the last write may still take effect on this version of the order. */
    private boolean isWaiting(EvacuationOrder current, long nowMs) {
      return nowMs < notBeforeMs && current.storeVersion() == writtenVersion;
    }
  }
}
