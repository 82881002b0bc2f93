package org.currantslip.core.ledger;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.schema.NodeRecord;

/**
 * Selects the preferred writer of each slot by rendezvous hashing over the serving nodes.
 *
 * <p>The selection only reduces write conflicts. Correctness does not depend on it: if nodes
 * disagree, an append fails with a conflict and is retried.
 */
final class SlotHints {
  private static final long REFRESH_MS = 200;
  private static final long SUSPECT_MS = 5_000;

  private final Membership membership;
  private final Clock clock;
  private final Map<String, Long> suspectUntilMs = new HashMap<>();
  private final String[] preferredWriters = new String[LedgerNames.SLOT_COUNT];
  private long nextRefreshMs = Long.MIN_VALUE;

  private SlotHints(Membership membership, Clock clock) {
    this.membership = membership;
    this.clock = clock;
  }

  static SlotHints create(Membership membership, Clock clock) {
    return new SlotHints(membership, clock);
  }

  /** Returns the preferred writer of a slot, or this node if that writer is suspected. */
  String preferredWriter(int slot) {
    refresh();
    String self = membership.self().getId().getName();
    String writer = preferredWriters[slot];
    return suspectUntilMs.getOrDefault(writer, Long.MIN_VALUE) > clock.nowMs() ? self : writer;
  }

  /** Excludes an unresponsive node from the selection for {@value #SUSPECT_MS} ms. */
  void suspect(String node) {
    suspectUntilMs.put(node, clock.nowMs() + SUSPECT_MS);
  }

  private void refresh() {
    if (clock.nowMs() < nextRefreshMs) {
      return;
    }
    nextRefreshMs = clock.nowMs() + REFRESH_MS;
    suspectUntilMs.values().removeIf(until -> until <= clock.nowMs());
    List<NodeRecord> nodes = membership.entryNodes();
    for (int slot = 0; slot < preferredWriters.length; slot++) {
      preferredWriters[slot] = highestScoring(nodes, slot);
    }
  }

  private String highestScoring(List<NodeRecord> nodes, int slot) {
    return nodes.stream()
        .map(n -> n.getId().getName())
        .max(Comparator.comparingLong(name -> score(name, slot)))
        .orElseGet(() -> membership.self().getId().getName());
  }

  private static long score(String node, int slot) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(node, StandardCharsets.UTF_8)
        .putInt(slot)
        .hash()
        .asLong();
  }
}
