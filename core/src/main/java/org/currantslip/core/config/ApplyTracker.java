package org.currantslip.core.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.NodeRecord;

/**
 * Tracks an applied version until it is in force on every live node.
 *
 * <p>One delegate per failure domain is polled for the state of its domain, and is replaced by
 * another node if it does not answer, so that no node has to contact the whole fleet.
 */
final class ApplyTracker {
  private static final long POLL_INTERVAL_MS = 100;
  private static final int POLLS_PER_DELEGATE = 2;

  private final Clock clock;
  private final PeerRing ring;
  private final VersionGossip gossip;
  private final String self;
  private final long version;
  private final long startedMs;
  private final long deadlineMs;
  private final Set<String> expected = new TreeSet<>();
  private final Set<String> reached = new TreeSet<>();
  private final Map<String, Integer> pollCounts = new HashMap<>();
  private final CompletableFuture<ApplyReply> result = new CompletableFuture<>();
  private long nextPollMs;

  private ApplyTracker(
      Clock clock, PeerRing ring, VersionGossip gossip, String self, long version, long waitMs) {
    this.clock = clock;
    this.ring = ring;
    this.gossip = gossip;
    this.self = self;
    this.version = version;
    this.startedMs = clock.nowMs();
    this.deadlineMs = startedMs + waitMs;
  }

  static ApplyTracker start(
      Clock clock, PeerRing ring, VersionGossip gossip, String self, long version, long waitMs) {
    return new ApplyTracker(clock, ring, gossip, self, version, waitMs);
  }

  CompletableFuture<ApplyReply> result() {
    return result;
  }

  long version() {
    return version;
  }

  void addReached(List<String> nodes) {
    reached.addAll(nodes);
  }

  /** Polls the failure domains when due; returns whether the tracking has completed. */
  boolean tick() {
    long nowMs = clock.nowMs();
    boolean pollDue = nowMs >= nextPollMs;
    if (pollDue) {
      ring.refreshNow();
    }
    ImmutableListMultimap<String, NodeRecord> byDomain =
        Multimaps.index(ring.live(), PeerRing::domain);
    ring.live().forEach(n -> expected.add(n.getId().getName()));
    boolean complete = ring.live().stream().allMatch(n -> reached.contains(n.getId().getName()));
    if (complete || nowMs >= deadlineMs) {
      result.complete(reply(nowMs));
      return true;
    }
    if (pollDue) {
      nextPollMs = nowMs + POLL_INTERVAL_MS;
      byDomain.keySet().forEach(d -> pollDomain(d, byDomain.get(d)));
    }
    return false;
  }

  private void pollDomain(String domain, List<NodeRecord> nodes) {
    List<String> names = nodes.stream().map(n -> n.getId().getName()).sorted().toList();
    if (names.contains(self)) {
      reached.addAll(gossip.reachedInDomain(version));
    } else if (!reached.containsAll(names)) {
      int count = pollCounts.merge(domain, 1, Integer::sum) - 1;
      gossip.probe(names.get(count / POLLS_PER_DELEGATE % names.size()), true);
    }
  }

  private ApplyReply reply(long nowMs) {
    ImmutableList<String> missing =
        expected.stream()
            .filter(n -> !reached.contains(n))
            .collect(ImmutableList.toImmutableList());
    return ApplyReply.newBuilder()
        .setVersion(version)
        .addAllInForceOn(reached)
        .addAllMissingOn(missing)
        .setElapsedMs(nowMs - startedMs)
        .build();
  }
}
