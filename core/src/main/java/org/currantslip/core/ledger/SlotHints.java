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
 * Names the node that usually writes a slot: the rendezvous hash over the serving nodes. It avoids
 * collisions only; a wrong hint costs a conflict and nothing else.
 */
final class SlotHints {
  private static final long REFRESH_MS = 200;
  private static final long SUSPECT_MS = 5_000;

  private final Membership membership;
  private final Clock clock;
  private final Map<String, Long> suspectUntilMs = new HashMap<>();
  private final String[] hints = new String[LedgerNames.SLOTS];
  private long nextRefreshMs = Long.MIN_VALUE;

  private SlotHints(Membership membership, Clock clock) {
    this.membership = membership;
    this.clock = clock;
  }

  static SlotHints create(Membership membership, Clock clock) {
    return new SlotHints(membership, clock);
  }

  /** Returns the usual writer of a slot, or this node when that one did not reply lately. */
  String writerOf(int slot) {
    refresh();
    String self = membership.self().getId().getName();
    String hint = hints[slot];
    return suspectUntilMs.getOrDefault(hint, Long.MIN_VALUE) > clock.nowMs() ? self : hint;
  }

  /** Leaves a node out for a while. */
  void suspect(String node) {
    suspectUntilMs.put(node, clock.nowMs() + SUSPECT_MS);
  }

  private void refresh() {
    if (clock.nowMs() < nextRefreshMs) {
      return;
    }
    nextRefreshMs = clock.nowMs() + REFRESH_MS;
    suspectUntilMs.values().removeIf(until -> until <= clock.nowMs());
    List<NodeRecord> nodes = membership.entries();
    for (int slot = 0; slot < hints.length; slot++) {
      hints[slot] = highest(nodes, slot);
    }
  }

  private String highest(List<NodeRecord> nodes, int slot) {
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
