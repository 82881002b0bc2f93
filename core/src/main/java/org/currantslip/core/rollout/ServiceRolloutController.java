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
 * Advances service rollouts from stage to stage by writing their status.
 *
 * <p>The stages keep the requests that reach the new version within the exposure bound even if it
 * never shows a fault: a version that fails under load only looks good until it gets the load. No
 * session changes its version in the first half of the duration.
 *
 * <p>All nodes derive the same order of candidates from a hash. A candidate acts if the candidates
 * ranked before it have left a due step unwritten for a while, so a crashed or stalled node is
 * replaced without an election. Each write is conditional on the store version of the object, and
 * stages only advance: a late write of a node that was stalled is rejected.
 */
public final class ServiceRolloutController {
  /** Writes the status of an order. */
  @FunctionalInterface
  public interface StatusWriter {
    /** Writes the status if the stored order still has the given store version. */
    CompletableFuture<Long> write(RolloutOrder order, RolloutOrder.Progress progress);
  }

  /** Number of nodes that may advance the rollout of one service. */
  private static final int MAX_CANDIDATES = 4;

  /** Delay per rank before a candidate takes over; long enough for one retried write. */
  private static final long TAKEOVER_DELAY_MS = 1_000;

  /** Delay after a failed write. */
  private static final long RETRY_DELAY_MS = 250;

  /** Time after which a write without a response is abandoned. */
  private static final long WRITE_TIMEOUT_MS = 1_000;

  /** Fraction of the exposure bound used by the first stage; leaves room for retries and skew. */
  private static final double FIRST_STAGE_FRACTION = 0.35;

  /** Start of the stage that includes sessions, as a fraction of the duration. */
  private static final double SESSION_STAGE_START = 0.5;

  /**
   * Lengths of the final stages in multiples of the exposure bound. Together with the first stage
   * they expose nine tenths of the bound.
   */
  private static final double QUARTER_STAGE_LENGTH = 0.8;

  /** Share of the quarter stage, and upper limit of the stages before it. */
  private static final double QUARTER = 0.25;

  private static final double HALF_STAGE_LENGTH = 0.6;
  private static final double FULL_STAGE_LENGTH = 0.4;

  /** Time before the end at which a rollout with share 1 is complete, in the same unit. */
  private static final double COMPLETION_LENGTH = 0.33;

  /** Limits the final stages if the exposure bound is large. */
  private static final double MAX_EXPOSURE_SHARE = 0.5;

  /** Answers of the new version required before its share may grow. */
  private static final long MIN_ANSWERS = 10;

  /**
   * One stage of a rollout.
   *
   * @param startFraction start of the stage, as a fraction of the rollout duration
   * @param share fraction of the requests without a session on the new version
   * @param sessionShare fraction of the sessions on the new version
   */
  private record Stage(double startFraction, double share, double sessionShare) {
    private boolean isReachedBy(RolloutOrder.Progress progress) {
      return share <= progress.share() && sessionShare <= progress.sessionShare();
    }
  }

  private final Membership membership;
  private final ServiceRollouts rollouts;
  private final StatusWriter writer;
  private final Clock clock;
  private final List<Stage> stages;
  private final double completionFraction;
  private final Map<String, OrderState> orderStates = new HashMap<>();
  private final Map<String, List<String>> candidatesByService = new HashMap<>();
  private List<NodeRecord> rankedNodes = List.of();

  private ServiceRolloutController(
      Membership membership,
      ServiceRollouts rollouts,
      StatusWriter writer,
      Clock clock,
      double exposureShare) {
    this.membership = membership;
    this.rollouts = rollouts;
    this.writer = writer;
    this.clock = clock;
    double bound = Math.min(MAX_EXPOSURE_SHARE, exposureShare);
    double first = Math.min(QUARTER, FIRST_STAGE_FRACTION * bound);
    double quarterStart = 1 - QUARTER_STAGE_LENGTH * bound;
    // Sessions start later, so that a larger share of them exposes no more requests.
    double sessions =
        Math.min(QUARTER, first * quarterStart / (quarterStart - SESSION_STAGE_START));
    stages =
        List.of(
            new Stage(0, first, 0),
            new Stage(SESSION_STAGE_START, first, sessions),
            new Stage(quarterStart, QUARTER, QUARTER),
            new Stage(1 - HALF_STAGE_LENGTH * bound, 0.5, 0.5),
            new Stage(1 - FULL_STAGE_LENGTH * bound, 1, 1));
    completionFraction = 1 - COMPLETION_LENGTH * bound;
  }

  /**
   * Creates an instance without orders.
   *
   * @param exposureShare largest fraction of all requests that a bad version may receive
   */
  public static ServiceRolloutController create(
      Membership membership,
      ServiceRollouts rollouts,
      StatusWriter writer,
      Clock clock,
      double exposureShare) {
    return new ServiceRolloutController(membership, rollouts, writer, clock, exposureShare);
  }

  /** Performs all due steps. */
  public void tick() {
    List<RolloutOrder> orders = rollouts.orders();
    orderStates.keySet().retainAll(orders.stream().map(RolloutOrder::service).toList());
    orders.forEach(this::advance);
  }

  private void advance(RolloutOrder order) {
    long nowMs = clock.nowMs();
    OrderState orderState = orderStates.computeIfAbsent(order.service(), s -> new OrderState());
    if (orderState.order == null || !orderState.order.isSameOrder(order)) {
      orderState.begin(
          order, nowMs - (long) (startFraction(order.progress()) * order.durationMs()));
    }
    orderState.order = order;
    if (order.progress().isFinal() || orderState.isWaiting(order, nowMs)) {
      return;
    }
    RolloutOrder.Progress due = dueProgress(order, orderState, nowMs);
    if (due.equals(order.progress())) {
      orderState.dueSinceMs = -1;
      return;
    }
    if (orderState.dueSinceMs < 0) {
      orderState.dueSinceMs = nowMs;
    }
    int rank = candidateRank(order.service());
    // A node that has taken over does not wait for the nodes ranked before it at each stage again.
    long delayMs = orderState.isLastWriter(order) ? 0 : rank * TAKEOVER_DELAY_MS;
    if (rank >= 0 && nowMs - orderState.dueSinceMs >= delayMs) {
      write(order, due, orderState, nowMs);
    }
  }

  private void write(
      RolloutOrder order, RolloutOrder.Progress due, OrderState orderState, long nowMs) {
    orderState.notBeforeMs = nowMs + WRITE_TIMEOUT_MS;
    orderState.writtenVersion = order.storeVersion();
    CompletableFuture<Long> unused =
        writer
            .write(order, due)
            .whenComplete(
                (version, failure) -> {
                  if (failure != null) {
                    orderState.notBeforeMs = clock.nowMs() + RETRY_DELAY_MS;
                  } else {
                    orderState.resultingVersion = version;
                  }
                });
  }

  private RolloutOrder.Progress dueProgress(RolloutOrder order, OrderState orderState, long nowMs) {
    if (rollouts.isHalted(order.service())) {
      return new RolloutOrder.Progress(RolloutOrder.State.ROLLED_BACK, 0);
    }
    double elapsed = (double) (nowMs - orderState.startedMs) / Math.max(1, order.durationMs());
    RolloutOrder.Progress reached = rollouts.reached(order.service());
    if (reached.isFinal()) {
      return reached;
    }
    boolean mayGrow =
        rollouts.answeredRequests(order.service()) >= MIN_ANSWERS
            && rollouts.isShownSound(order.service());
    if (elapsed >= completionFraction && reached.sessionShare() >= 1 && mayGrow) {
      return new RolloutOrder.Progress(RolloutOrder.State.COMPLETE, 1);
    }
    Stage due =
        stages.stream()
            .filter(s -> elapsed >= s.startFraction())
            .filter(s -> mayGrow || s.share() <= stages.get(0).share())
            .reduce(stages.get(0), (earlier, later) -> later);
    return reached.latest(
        new RolloutOrder.Progress(RolloutOrder.State.IN_PROGRESS, due.share(), due.sessionShare()));
  }

  /** Returns the earliest fraction of the duration at which this progress is reached. */
  private double startFraction(RolloutOrder.Progress progress) {
    return stages.stream()
        .filter(s -> s.isReachedBy(progress))
        .mapToDouble(Stage::startFraction)
        .max()
        .orElse(0);
  }

  /** Returns the rank of this node among the candidates of a service, or -1 if it is none. */
  private int candidateRank(String service) {
    return candidates(service).indexOf(membership.self().getId().getName());
  }

  private static long candidateHash(String service, String node) {
    return Hashing.murmur3_128().hashString(service + '\0' + node, StandardCharsets.UTF_8).asLong();
  }

  /** Returns the nodes that need the evidence on a service, in rank order. */
  public List<String> candidates(String service) {
    List<NodeRecord> live = membership.live();
    if (live != rankedNodes) {
      rankedNodes = live;
      candidatesByService.clear();
    }
    return candidatesByService.computeIfAbsent(
        service,
        s ->
            live.stream()
                .map(n -> n.getId().getName())
                .sorted(Comparator.comparingLong(name -> candidateHash(s, name)))
                .limit(MAX_CANDIDATES)
                .toList());
  }

  /** Local state of this node for one order. */
  private static final class OrderState {
    private @Nullable RolloutOrder order;
    private long startedMs;
    private long dueSinceMs = -1;
    private long notBeforeMs;
    private long writtenVersion;
    private long resultingVersion = -1;

    /** Returns whether this version of the order is the result of this node's last write. */
    private boolean isLastWriter(RolloutOrder current) {
      return current.storeVersion() == resultingVersion;
    }

    /** Returns whether the last write may still take effect on this version of the order. */
    private boolean isWaiting(RolloutOrder current, long nowMs) {
      return nowMs < notBeforeMs && current.storeVersion() == writtenVersion;
    }

    private void begin(RolloutOrder newOrder, long startMs) {
      order = newOrder;
      startedMs = startMs;
      dueSinceMs = -1;
      notBeforeMs = 0;
    }
  }
}
