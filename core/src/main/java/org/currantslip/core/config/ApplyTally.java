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
 * Waits until a version is in force on every live node.
 *
 * <p>One node of each failure domain is asked for the state of its domain, and another one when it
 * does not answer, so that no node has to reach the whole fleet.
 */
final class ApplyTally {
  private static final long ASK_INTERVAL_MS = 100;
  private static final int ASKS_PER_DELEGATE = 2;

  private final Clock clock;
  private final PeerRing ring;
  private final PeerSpread spread;
  private final String self;
  private final long version;
  private final long startedMs;
  private final long untilMs;
  private final Set<String> expected = new TreeSet<>();
  private final Set<String> reached = new TreeSet<>();
  private final Map<String, Integer> asks = new HashMap<>();
  private final CompletableFuture<ApplyReply> done = new CompletableFuture<>();
  private long nextAskMs;

  private ApplyTally(
      Clock clock, PeerRing ring, PeerSpread spread, String self, long version, long waitMs) {
    this.clock = clock;
    this.ring = ring;
    this.spread = spread;
    this.self = self;
    this.version = version;
    this.startedMs = clock.nowMs();
    this.untilMs = startedMs + waitMs;
  }

  static ApplyTally start(
      Clock clock, PeerRing ring, PeerSpread spread, String self, long version, long waitMs) {
    return new ApplyTally(clock, ring, spread, self, version, waitMs);
  }

  CompletableFuture<ApplyReply> done() {
    return done;
  }

  long version() {
    return version;
  }

  void reached(List<String> nodes) {
    reached.addAll(nodes);
  }

  /** Asks again and finishes when due; returns whether it has finished. */
  boolean tick() {
    long now = clock.nowMs();
    boolean asking = now >= nextAskMs;
    if (asking) {
      ring.renew();
    }
    ImmutableListMultimap<String, NodeRecord> byDomain =
        Multimaps.index(ring.live(), PeerRing::domain);
    ring.live().forEach(n -> expected.add(n.getId().getName()));
    boolean complete = ring.live().stream().allMatch(n -> reached.contains(n.getId().getName()));
    if (complete || now >= untilMs) {
      done.complete(reply(now));
      return true;
    }
    if (asking) {
      nextAskMs = now + ASK_INTERVAL_MS;
      byDomain.keySet().forEach(d -> ask(d, byDomain.get(d)));
    }
    return false;
  }

  private void ask(String domain, List<NodeRecord> nodes) {
    List<String> names = nodes.stream().map(n -> n.getId().getName()).sorted().toList();
    if (names.contains(self)) {
      reached.addAll(spread.domainTally(version));
    } else if (!reached.containsAll(names)) {
      int count = asks.merge(domain, 1, Integer::sum) - 1;
      spread.probe(names.get(count / ASKS_PER_DELEGATE % names.size()), true);
    }
  }

  private ApplyReply reply(long now) {
    ImmutableList<String> missing =
        expected.stream()
            .filter(n -> !reached.contains(n))
            .collect(ImmutableList.toImmutableList());
    return ApplyReply.newBuilder()
        .setVersion(version)
        .addAllInForceOn(reached)
        .addAllMissingOn(missing)
        .setElapsedMs(now - startedMs)
        .build();
  }
}
