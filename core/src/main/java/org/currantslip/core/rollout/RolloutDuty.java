package org.currantslip.core.rollout;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.schema.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * Moves roll-outs from stage to stage by writing their status.
 *
 * <p>All nodes agree on an order of candidates by hash. A candidate acts when those before it have
 * left a step undone for a while, so a node that died or froze is replaced without an election.
 * Each write is guarded by the store version of the object, and stages only go forward: a late
 * write of a node that woke up is refused.
 */
public final class RolloutDuty {
  /** Writes the status of an order. */
  @FunctionalInterface
  public interface StatusWriter {
    /** Writes a status if the order still has its store version. */
    CompletableFuture<Long> write(RolloutOrder order, RolloutOrder.Progress progress);
  }

  /** Nodes that may do the duty of one service. */
  private static final int CANDIDATES = 4;

  /** Time that a candidate leaves the one before it; covers a write that has to be repeated. */
  private static final long PATIENCE_MS = 1_000;

  /** Pause after a write that failed. */
  private static final long RETRY_MS = 250;

  /** A write without an answer for so long is given up. */
  private static final long WRITE_MS = 1_000;

  /** Part of the exposure bound that the first stage uses; retries and hash luck take the rest. */
  private static final double FIRST_PART = 0.6;

  /** Answers of the new version needed before more sessions move. */
  private static final long MIN_SEEN = 10;

  /**
   * One stage.
   *
   * @param from part of the roll-out's time at which it begins
   * @param share part of the sessions on the new version
   */
  private record Stage(double from, double share) {}

  private final Membership membership;
  private final ServiceRollouts rollouts;
  private final StatusWriter writer;
  private final Clock clock;
  private final List<Stage> stages;
  private final Map<String, Step> steps = new HashMap<>();

  private RolloutDuty(
      Membership membership,
      ServiceRollouts rollouts,
      StatusWriter writer,
      Clock clock,
      double exposureShare) {
    this.membership = membership;
    this.rollouts = rollouts;
    this.writer = writer;
    this.clock = clock;
    // No session changes its version in the first half of the time; the last fifth is reserve.
    stages =
        List.of(
            new Stage(0, FIRST_PART * exposureShare),
            new Stage(0.5, 0.25),
            new Stage(0.58, 0.5),
            new Stage(0.66, 1));
  }

  /** Part of the roll-out's time at which a version that all sessions use becomes the only one. */
  private static final double COMPLETE_FROM = 0.84;

  /**
   * Returns a duty without orders.
   *
   * @param exposureShare most requests that a bad version may get, as a part of all
   */
  public static RolloutDuty create(
      Membership membership,
      ServiceRollouts rollouts,
      StatusWriter writer,
      Clock clock,
      double exposureShare) {
    return new RolloutDuty(membership, rollouts, writer, clock, exposureShare);
  }

  /** Does the steps that are due. */
  public void tick() {
    List<RolloutOrder> orders = rollouts.orders();
    steps.keySet().retainAll(orders.stream().map(RolloutOrder::service).toList());
    orders.forEach(this::advance);
  }

  private void advance(RolloutOrder order) {
    long nowMs = clock.nowMs();
    Step step = steps.computeIfAbsent(order.service(), s -> new Step());
    if (step.order == null || !step.order.isSameOrder(order)) {
      step.begin(order, nowMs - (long) (startOf(order.progress()) * order.durationMs()));
    }
    step.order = order;
    if (order.progress().isFinal() || nowMs < step.notBeforeMs) {
      return;
    }
    RolloutOrder.Progress due = due(order, step, nowMs);
    if (due.equals(order.progress())) {
      step.dueSinceMs = -1;
      return;
    }
    if (step.dueSinceMs < 0) {
      step.dueSinceMs = nowMs;
    }
    int rank = rank(order.service());
    if (rank < CANDIDATES && nowMs - step.dueSinceMs >= rank * PATIENCE_MS) {
      write(order, due, step, nowMs);
    }
  }

  private void write(RolloutOrder order, RolloutOrder.Progress due, Step step, long nowMs) {
    step.notBeforeMs = nowMs + WRITE_MS;
    CompletableFuture<Long> unused =
        writer
            .write(order, due)
            .whenComplete(
                (version, failure) -> {
                  if (failure != null) {
                    step.notBeforeMs = clock.nowMs() + RETRY_MS;
                  }
                });
  }

  private RolloutOrder.Progress due(RolloutOrder order, Step step, long nowMs) {
    if (rollouts.isHalted(order.service())) {
      return new RolloutOrder.Progress(RolloutOrder.State.ROLLED_BACK, 0);
    }
    double time = (double) (nowMs - step.startedMs) / Math.max(1, order.durationMs());
    double share = order.progress().share();
    if (time >= COMPLETE_FROM && share >= 1) {
      return new RolloutOrder.Progress(RolloutOrder.State.COMPLETE, 1);
    }
    double wanted =
        stages.stream().filter(s -> time >= s.from()).mapToDouble(Stage::share).max().orElse(0);
    boolean first = share == 0;
    boolean proved = rollouts.seen(order.service()) >= MIN_SEEN;
    double next = first ? stages.get(0).share() : proved ? Math.max(share, wanted) : share;
    return new RolloutOrder.Progress(RolloutOrder.State.IN_PROGRESS, next);
  }

  /** Returns the part of the time that must have passed for a roll-out to be this far. */
  private double startOf(RolloutOrder.Progress progress) {
    return stages.stream()
        .filter(s -> s.share() <= progress.share())
        .mapToDouble(Stage::from)
        .max()
        .orElse(0);
  }

  /** Returns this node's place among the candidates of a service. */
  private int rank(String service) {
    List<String> names =
        membership.live().stream()
            .map(NodeRecord::getId)
            .map(id -> id.getName())
            .sorted(Comparator.comparingLong(name -> place(service, name)))
            .toList();
    return names.indexOf(membership.self().getId().getName());
  }

  private static long place(String service, String node) {
    return Hashing.murmur3_128().hashString(service + '\0' + node, StandardCharsets.UTF_8).asLong();
  }

  /** Returns the nodes that need the evidence on a service, the acting one first. */
  public List<String> candidates(String service) {
    return membership.live().stream()
        .map(n -> n.getId().getName())
        .sorted(Comparator.comparingLong(name -> place(service, name)))
        .limit(CANDIDATES)
        .toList();
  }

  /** Where this node stands with one order. */
  private static final class Step {
    private @Nullable RolloutOrder order;
    private long startedMs;
    private long dueSinceMs = -1;
    private long notBeforeMs;

    private void begin(RolloutOrder first, long atMs) {
      order = first;
      startedMs = atMs;
      dueSinceMs = -1;
      notBeforeMs = 0;
    }
  }
}
