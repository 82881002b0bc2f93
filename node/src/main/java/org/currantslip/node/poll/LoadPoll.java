package org.currantslip.node.poll;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.currantslip.adapter.endpoint.LoadReportSource;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.routing.EndpointChooser;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeRecord;

/**
 * Polls load reports: of all endpoints while they are few, otherwise of those in use and of a share
 * that the nodes divide among themselves.
 */
public final class LoadPoll {
  private static final long INTERVAL_MS = 1_000;
  private static final int MAX_FETCHES_PER_ROUND = 24;
  private static final int POLLERS_PER_ENDPOINT = 3;

  private final LoadReportSource source;
  private final Membership membership;
  private final EndpointChooser chooser;
  private final RecentEndpointTracker recentEndpointTracker;
  private final PollSchedule schedule;
  private final Set<String> pendingFetches = new HashSet<>();
  private Set<String> assignedIds = Set.of();
  private long nextIndex;
  private List<EndpointRecord> assignedFrom = List.of();
  private List<NodeRecord> assignedNodes = List.of();

  private LoadPoll(
      LoadReportSource source,
      Membership membership,
      EndpointChooser chooser,
      RecentEndpointTracker recentEndpointTracker,
      Clock clock) {
    this.source = source;
    this.membership = membership;
    this.chooser = chooser;
    this.recentEndpointTracker = recentEndpointTracker;
    schedule = PollSchedule.of(clock, INTERVAL_MS);
  }

  /** Creates a poll that passes reports to the chooser. */
  public static LoadPoll create(
      LoadReportSource source,
      Membership membership,
      EndpointChooser chooser,
      RecentEndpointTracker recentEndpointTracker,
      Clock clock) {
    return new LoadPoll(source, membership, chooser, recentEndpointTracker, clock);
  }

  /** Fetches reports when they are due. */
  public void tick() {
    if (schedule.tryStart()) {
      schedule.finish();
      List<EndpointRecord> all = chooser.endpoints();
      List<EndpointRecord> pollable =
          all.size() <= MAX_FETCHES_PER_ROUND ? all : nextRound(pollable(all));
      pollable.stream().filter(e -> pendingFetches.add(e.getId())).forEach(this::fetch);
    }
  }

  /** Returns the endpoints of the next round, in rotation. */
  private List<EndpointRecord> nextRound(List<EndpointRecord> pollable) {
    int count = Math.min(MAX_FETCHES_PER_ROUND, pollable.size());
    List<EndpointRecord> round =
        IntStream.range(0, count)
            .mapToObj(i -> pollable.get((int) ((nextIndex + i) % pollable.size())))
            .toList();
    nextIndex += count;
    return round;
  }

  private List<EndpointRecord> pollable(List<EndpointRecord> all) {
    List<NodeRecord> nodes = membership.live();
    if (!all.equals(assignedFrom) || !nodes.equals(assignedNodes)) {
      assignedFrom = all;
      assignedNodes = nodes;
      assignedIds = assignedTo(all, nodes);
    }
    Set<String> recentlyUsed = Set.copyOf(recentEndpointTracker.recentlyUsed());
    return all.stream()
        .filter(e -> recentlyUsed.contains(e.getId()) || assignedIds.contains(e.getId()))
        .toList();
  }

  private Set<String> assignedTo(List<EndpointRecord> all, List<NodeRecord> nodes) {
    String self = membership.self().getId().getName();
    return all.stream()
        .map(EndpointRecord::getId)
        .filter(id -> Rendezvous.isAssigned(self, id, nodes, POLLERS_PER_ENDPOINT))
        .collect(Collectors.toSet());
  }

  private void fetch(EndpointRecord endpoint) {
    source
        .fetch(endpoint)
        .whenComplete((load, failure) -> onFetched(endpoint.getId(), load, failure));
  }

  private void onFetched(String id, EndpointLoad load, Throwable failure) {
    pendingFetches.remove(id);
    if (failure == null) {
      chooser.onLoad(load);
    }
  }
}
