package org.currantslip.node.wiring;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.membership.PlannedStop;
import org.currantslip.node.caller.EntryView;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.metrics.NodeGauges;
import org.currantslip.node.metrics.NodeMetrics;
import org.currantslip.node.peer.PeerLinks;
import org.currantslip.schema.NodeRecord;

/** Publishes snapshots of the decision thread's state to other threads and logs its changes. */
final class NodePublisher {
  private static final long PUBLISH_INTERVAL_MS = 50;

  private final CoreComponents core;
  private final PeerLinks links;
  private final PlannedStop plannedStop;
  private final NodeMetrics metrics;
  private final IntSupplier requestsInFlight;
  private final IntSupplier decisionBacklog;
  private final Clock clock;
  private volatile EntryView entryView = EntryView.empty();
  private List<NodeRecord> lastLiveNodes = List.of();
  private long lastConfigVersion;
  private boolean lastConfigFresh;
  private PlannedStop.Phase lastStopPhase = PlannedStop.Phase.RUNNING;
  private long nextPublishMs;

  private NodePublisher(
      CoreComponents core,
      PeerLinks links,
      PlannedStop plannedStop,
      NodeMetrics metrics,
      IntSupplier requestsInFlight,
      IntSupplier decisionBacklog,
      Clock clock) {
    this.core = core;
    this.links = links;
    this.plannedStop = plannedStop;
    this.metrics = metrics;
    this.requestsInFlight = requestsInFlight;
    this.decisionBacklog = decisionBacklog;
    this.clock = clock;
  }

  static NodePublisher create(
      CoreComponents core,
      PeerLinks links,
      PlannedStop plannedStop,
      NodeMetrics metrics,
      IntSupplier requestsInFlight,
      IntSupplier decisionBacklog,
      Clock clock) {
    return new NodePublisher(
        core, links, plannedStop, metrics, requestsInFlight, decisionBacklog, clock);
  }

  /** Returns the last published view; may be called from any thread. */
  EntryView entryView() {
    return entryView;
  }

  void tick() {
    if (clock.nowMs() < nextPublishMs) {
      return;
    }
    nextPublishMs = clock.nowMs() + PUBLISH_INTERVAL_MS;
    publishEntryView();
    publishGauges();
    logMembershipChanges();
    logConfigChanges();
    if (plannedStop.phase() != lastStopPhase) {
      lastStopPhase = plannedStop.phase();
      EventLog.write(LogEvent.NODE_STOP_PHASE, "phase=" + lastStopPhase);
    }
  }

  private void publishEntryView() {
    List<NodeRecord> entries = core.membership().entryNodes();
    boolean serving = plannedStop.phase() == PlannedStop.Phase.RUNNING;
    entryView =
        new EntryView(
            entries.isEmpty() && serving ? List.of(core.membership().self()) : entries,
            core.config().current().version(),
            plannedStop.acceptsRequests());
  }

  private void publishGauges() {
    metrics.publish(
        new NodeGauges(
            requestsInFlight.getAsInt(),
            decisionBacklog.getAsInt(),
            core.membership().live().size(),
            core.membership().entryNodes().size(),
            links.openLinkCount(),
            links.framesReceived(),
            core.chooser().endpoints().size(),
            core.config().current().version(),
            core.config().ageMs(),
            0));
  }

  private void logMembershipChanges() {
    List<NodeRecord> live = core.membership().live();
    if (live == lastLiveNodes) {
      return;
    }
    Set<String> before = namesWithIncarnation(lastLiveNodes);
    Set<String> now = namesWithIncarnation(live);
    lastLiveNodes = live;
    difference(now, before).forEach(n -> EventLog.write(LogEvent.MEMBER_LIVE, "node=" + n));
    difference(before, now).forEach(n -> EventLog.write(LogEvent.MEMBER_LOST, "node=" + n));
  }

  private static Set<String> namesWithIncarnation(List<NodeRecord> nodes) {
    return nodes.stream()
        .map(n -> n.getId().getName() + "#" + n.getId().getIncarnation())
        .collect(Collectors.toSet());
  }

  private static Set<String> difference(Set<String> from, Set<String> removed) {
    Set<String> result = new HashSet<>(from);
    result.removeAll(removed);
    return result;
  }

  private void logConfigChanges() {
    long version = core.config().current().version();
    if (version != lastConfigVersion) {
      lastConfigVersion = version;
      EventLog.write(LogEvent.CONFIG_IN_FORCE, "version=" + version);
    }
    boolean fresh = core.config().isFresh();
    if (fresh != lastConfigFresh) {
      lastConfigFresh = fresh;
      LogEvent event = fresh ? LogEvent.CONFIG_FRESH : LogEvent.CONFIG_STALE;
      EventLog.write(event, "version=" + version + " age_ms=" + core.config().ageMs());
    }
  }
}
