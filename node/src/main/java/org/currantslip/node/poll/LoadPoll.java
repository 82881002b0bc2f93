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
 * Reads load reports: of all endpoints while they are few, else of those in use and of a share that
 * the nodes divide among themselves.
 */
public final class LoadPoll {
  private static final long EVERY_MS = 1_000;
  private static final int MAX_PER_ROUND = 24;
  private static final int POLLERS = 3;

  private final LoadReportSource source;
  private final Membership membership;
  private final EndpointChooser chooser;
  private final UsedEndpoints used;
  private final Interval interval;
  private final Set<String> underWay = new HashSet<>();
  private Set<String> share = Set.of();
  private long turn;
  private List<EndpointRecord> shareOf = List.of();
  private List<NodeRecord> shareAmong = List.of();

  private LoadPoll(
      LoadReportSource source,
      Membership membership,
      EndpointChooser chooser,
      UsedEndpoints used,
      Clock clock) {
    this.source = source;
    this.membership = membership;
    this.chooser = chooser;
    this.used = used;
    interval = Interval.of(clock, EVERY_MS);
  }

  /** Returns a poll that passes reports to the chooser. */
  public static LoadPoll create(
      LoadReportSource source,
      Membership membership,
      EndpointChooser chooser,
      UsedEndpoints used,
      Clock clock) {
    return new LoadPoll(source, membership, chooser, used, clock);
  }

  /** Asks for reports when they are due. */
  public void tick() {
    if (interval.begin()) {
      interval.end();
      List<EndpointRecord> all = chooser.endpoints();
      List<EndpointRecord> wanted = all.size() <= MAX_PER_ROUND ? all : nextOf(wanted(all));
      wanted.stream().filter(e -> underWay.add(e.getId())).forEach(this::fetch);
    }
  }

  /** Returns the next round's endpoints, so that all get their turn. */
  private List<EndpointRecord> nextOf(List<EndpointRecord> wanted) {
    int count = Math.min(MAX_PER_ROUND, wanted.size());
    List<EndpointRecord> round =
        IntStream.range(0, count)
            .mapToObj(i -> wanted.get((int) ((turn + i) % wanted.size())))
            .toList();
    turn += count;
    return round;
  }

  private List<EndpointRecord> wanted(List<EndpointRecord> all) {
    List<NodeRecord> nodes = membership.live();
    if (!all.equals(shareOf) || !nodes.equals(shareAmong)) {
      shareOf = all;
      shareAmong = nodes;
      share = shareOf(all, nodes);
    }
    Set<String> lately = Set.copyOf(used.lately());
    return all.stream()
        .filter(e -> lately.contains(e.getId()) || share.contains(e.getId()))
        .toList();
  }

  private Set<String> shareOf(List<EndpointRecord> all, List<NodeRecord> nodes) {
    String self = membership.self().getId().getName();
    return all.stream()
        .map(EndpointRecord::getId)
        .filter(id -> Rendezvous.isChosen(self, id, nodes, POLLERS))
        .collect(Collectors.toSet());
  }

  private void fetch(EndpointRecord endpoint) {
    source
        .fetch(endpoint)
        .whenComplete((load, failure) -> onFetched(endpoint.getId(), load, failure));
  }

  private void onFetched(String id, EndpointLoad load, Throwable failure) {
    underWay.remove(id);
    if (failure == null) {
      chooser.onLoad(load);
    }
  }
}
