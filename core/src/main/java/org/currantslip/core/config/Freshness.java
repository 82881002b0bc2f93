package org.currantslip.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.currantslip.core.common.Clock;

/**
 * Tracks how recently it was confirmed that no configuration newer than the one in force existed.
 *
 * <p>All times are from this node's clock. Ages are counted from the time a request was sent, so
 * neither the clocks of other nodes nor late delivery of messages make a view appear fresher.
 */
final class Freshness {
  private final Clock clock;
  private final PeerRing ring;
  private final long maxAgeMs;
  private final Map<String, Reply> replies = new HashMap<>();
  private OptionalLong confirmedMs = OptionalLong.empty();

  private Freshness(Clock clock, PeerRing ring, long maxAgeMs) {
    this.clock = clock;
    this.ring = ring;
    this.maxAgeMs = maxAgeMs;
  }

  private record Reply(long sentMs, long version, int knownNodes) {}

  static Freshness create(Clock clock, PeerRing ring, long maxAgeMs) {
    return new Freshness(clock, ring, maxAgeMs);
  }

  /** Records that nothing newer than the configuration in force existed at {@code atMs}. */
  void confirm(long atMs) {
    if (confirmedMs.isEmpty() || atMs > confirmedMs.getAsLong()) {
      confirmedMs = OptionalLong.of(atMs);
    }
  }

  /** Records the reply of a peer to a probe sent at {@code sentMs}. */
  void onReply(String peer, long sentMs, long version, int knownNodes) {
    replies.put(peer, new Reply(sentMs, version, knownNodes));
    replies.values().removeIf(r -> r.sentMs() < clock.nowMs() - maxAgeMs);
  }

  boolean hasConfirmation() {
    return confirmedMs.isPresent();
  }

  /** Returns the age of the last confirmation; the time since the epoch if there is none. */
  long ageMs() {
    return Math.max(0, clock.nowMs() - confirmedMs.orElse(0));
  }

  boolean isFresh(long version) {
    boolean recentlyConfirmed = hasConfirmation() && ageMs() <= maxAgeMs;
    return recentlyConfirmed || (version > 0 && majorityOfPeersAgrees(version));
  }

  /** Returns whether more than half of the known nodes are live as seen by this node. */
  boolean seesMajority() {
    int knownCount =
        Math.max(
            ring.knownCount(),
            replies.values().stream().mapToInt(Reply::knownNodes).max().orElse(0));
    return ring.live().size() * 2 > knownCount;
  }

  private boolean majorityOfPeersAgrees(long version) {
    long oldestMs = clock.nowMs() - maxAgeMs;
    long agreeing =
        ring.fingers().stream()
            .map(replies::get)
            .filter(r -> r != null && r.sentMs() >= oldestMs && r.version() <= version)
            .count();
    boolean newerReported = replies.values().stream().anyMatch(r -> r.version() > version);
    return !newerReported && agreeing * 2 > ring.fingers().size() && seesMajority();
  }
}
