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

/** Publishes what other threads may see of the decisions' state, and logs its changes. */
final class NodePublisher {
  private static final long EVERY_MS = 50;

  private final CoreParts core;
  private final PeerLinks links;
  private final PlannedStop stop;
  private final NodeMetrics metrics;
  private final IntSupplier inFlight;
  private final IntSupplier backlog;
  private final Clock clock;
  private volatile EntryView entryView = EntryView.empty();
  private List<NodeRecord> lastLive = List.of();
  private long lastConfig;
  private boolean lastFresh;
  private PlannedStop.Phase lastPhase = PlannedStop.Phase.RUNNING;
  private long nextMs;

  private NodePublisher(
      CoreParts core,
      PeerLinks links,
      PlannedStop stop,
      NodeMetrics metrics,
      IntSupplier inFlight,
      IntSupplier backlog,
      Clock clock) {
    this.core = core;
    this.links = links;
    this.stop = stop;
    this.metrics = metrics;
    this.inFlight = inFlight;
    this.backlog = backlog;
    this.clock = clock;
  }

  static NodePublisher create(
      CoreParts core,
      PeerLinks links,
      PlannedStop stop,
      NodeMetrics metrics,
      IntSupplier inFlight,
      IntSupplier backlog,
      Clock clock) {
    return new NodePublisher(core, links, stop, metrics, inFlight, backlog, clock);
  }

  /** Returns the last published view; any thread may ask. */
  EntryView entryView() {
    return entryView;
  }

  void tick() {
    if (clock.nowMs() < nextMs) {
      return;
    }
    nextMs = clock.nowMs() + EVERY_MS;
    publishEntries();
    publishGauges();
    logMembers();
    logConfig();
    if (stop.phase() != lastPhase) {
      lastPhase = stop.phase();
      EventLog.write(LogEvent.NODE_STOP_PHASE, "phase=" + lastPhase);
    }
  }

  private void publishEntries() {
    List<NodeRecord> entries = core.membership().entries();
    boolean serving = stop.phase() == PlannedStop.Phase.RUNNING;
    entryView =
        new EntryView(
            entries.isEmpty() && serving ? List.of(core.membership().self()) : entries,
            core.config().current().version(),
            stop.acceptsRequests());
  }

  private void publishGauges() {
    metrics.publish(
        new NodeGauges(
            inFlight.getAsInt(),
            backlog.getAsInt(),
            core.membership().live().size(),
            core.membership().entries().size(),
            links.openLinks(),
            links.framesTaken(),
            core.chooser().endpoints().size(),
            core.config().current().version(),
            core.config().ageMs()));
  }

  private void logMembers() {
    List<NodeRecord> live = core.membership().live();
    if (live == lastLive) {
      return;
    }
    Set<String> before = names(lastLive);
    Set<String> now = names(live);
    lastLive = live;
    difference(now, before).forEach(n -> EventLog.write(LogEvent.MEMBER_LIVE, "node=" + n));
    difference(before, now).forEach(n -> EventLog.write(LogEvent.MEMBER_LOST, "node=" + n));
  }

  private static Set<String> names(List<NodeRecord> nodes) {
    return nodes.stream()
        .map(n -> n.getId().getName() + "#" + n.getId().getIncarnation())
        .collect(Collectors.toSet());
  }

  private static Set<String> difference(Set<String> one, Set<String> other) {
    Set<String> rest = new HashSet<>(one);
    rest.removeAll(other);
    return rest;
  }

  private void logConfig() {
    long version = core.config().current().version();
    if (version != lastConfig) {
      lastConfig = version;
      EventLog.write(LogEvent.CONFIG_IN_FORCE, "version=" + version);
    }
    boolean fresh = core.config().isFresh();
    if (fresh != lastFresh) {
      lastFresh = fresh;
      LogEvent event = fresh ? LogEvent.CONFIG_FRESH : LogEvent.CONFIG_STALE;
      EventLog.write(event, "version=" + version + " age_ms=" + core.config().ageMs());
    }
  }
}
