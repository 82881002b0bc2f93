package org.currantslip.node.edge;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.start.WarmUpPolicy.Surroundings;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.metrics.NodeMetrics;
import org.currantslip.node.metrics.StartFigures;
import org.currantslip.node.peer.PeerLinks;
import org.currantslip.schema.EdgeSettings;
import org.eclipse.jetty.client.HttpClient;

/** Start of a node from the moment it can serve until callers can connect. */
final class NodeStart {
  /** Nodes of a deployment that start together join within this time of each other. */
  private static final long FIRST_START_MS = 60_000;

  private final HeartbeatMembership membership;
  private final PeerLinks peerLinks;
  private final NodeMetrics metrics;
  private final boolean hasPredecessor;
  private final WarmUp warmUp;
  private final AtomicBoolean callersCame = new AtomicBoolean();
  private final AtomicBoolean callersWait = new AtomicBoolean();
  private volatile Optional<Surroundings> surroundings = Optional.empty();

  private NodeStart(
      EdgeSettings settings,
      Clock clock,
      HeartbeatMembership membership,
      PeerLinks peerLinks,
      HttpClient endpointClient,
      NodeMetrics metrics,
      boolean hasPredecessor) {
    this.membership = membership;
    this.peerLinks = peerLinks;
    this.metrics = metrics;
    this.hasPredecessor = hasPredecessor;
    double cores = settings.getLimits().getCpuShare() * settings.getLimits().getCores();
    warmUp =
        WarmUp.create(
            clock,
            EdgeOptions.maxWarmUpMs(settings),
            () -> processorMs(clock, cores),
            () -> surroundings,
            () -> WarmUpPath.open(EdgeOptions.warmUpCaller(settings), endpointClient, clock));
  }

  /**
   * Creates the start of a node.
   *
   * @param hasPredecessor whether a node of this name ran before
   */
  static NodeStart create(
      EdgeSettings settings,
      Clock clock,
      HeartbeatMembership membership,
      PeerLinks peerLinks,
      HttpClient endpointClient,
      NodeMetrics metrics,
      boolean hasPredecessor) {
    return new NodeStart(
        settings, clock, membership, peerLinks, endpointClient, metrics, hasPredecessor);
  }

  /** Updates what warm-up is decided by; runs on the decision thread. */
  void tick(boolean canServe) {
    surroundings =
        canServe
            ? Optional.of(new Surroundings(isFirstStart(), servingPeers(), callersWait.get()))
            : Optional.empty();
  }

  /**
   * Called on any thread for each look-up by a caller. One that named no node is that of a waiting
   * caller.
   */
  void onLookUp(boolean named) {
    callersCame.set(true);
    if (!named) {
      callersWait.set(true);
    }
  }

  /** Runs the warm-up; the callers' port is opened when it returns. */
  WarmUp.Result warmUp() {
    return warmUp.run();
  }

  /** Reports the start once callers can connect. */
  void onReady(WarmUp.Result result) {
    long readyMs =
        ProcessHandle.current()
            .info()
            .startInstant()
            .map(start -> Duration.between(start, Instant.now()).toMillis())
            .orElse(0L);
    metrics.recordStart(
        new StartFigures(readyMs, result.elapsedMs(), result.processorMs(), result.calls()));
    EventLog.write(
        LogEvent.NODE_READY,
        "ready_ms=%d warm_up_ms=%d processor_ms=%d calls=%d end=%s"
            .formatted(
                readyMs, result.elapsedMs(), result.processorMs(), result.calls(), result.end()));
  }

  private boolean isFirstStart() {
    long earliestMs = membership.self().getJoinedMs() - FIRST_START_MS;
    return !hasPredecessor
        && membership.nodeViews().stream()
            .allMatch(view -> view.getNode().getJoinedMs() >= earliestMs);
  }

  private int servingPeers() {
    String self = membership.self().getId().getName();
    return (int)
        membership.entryNodes().stream()
            .map(node -> node.getId().getName())
            .filter(name -> !name.equals(self) && peerLinks.isLinked(name))
            .count();
  }

  /**
   * Returns the processor time of this process; read from the system, without a management bean.
   * Where the system does not tell, a starting node is taken to use all of its share.
   */
  private static long processorMs(Clock clock, double cores) {
    return ProcessHandle.current()
        .info()
        .totalCpuDuration()
        .map(Duration::toMillis)
        .filter(ms -> ms > 0)
        .orElseGet(() -> (long) (cores * clock.nowMs()));
  }
}
