package org.currantslip.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.currantslip.core.common.Clock;

/**
 * How recently it was known that no configuration newer than the one in force existed.
 *
 * <p>All times are this node's own; ages come from round trips and count from the sending of the
 * question, so that neither clocks of other nodes nor messages read late make a view look younger.
 */
final class Freshness {
  private final Clock clock;
  private final PeerRing ring;
  private final long boundMs;
  private final Map<String, Heard> heard = new HashMap<>();
  private OptionalLong confirmedMs = OptionalLong.empty();

  private Freshness(Clock clock, PeerRing ring, long boundMs) {
    this.clock = clock;
    this.ring = ring;
    this.boundMs = boundMs;
  }

  private record Heard(long askedMs, long version, int knownNodes) {}

  static Freshness create(Clock clock, PeerRing ring, long boundMs) {
    return new Freshness(clock, ring, boundMs);
  }

  /** Notes that at {@code atMs} nothing newer than the configuration in force existed. */
  void confirmed(long atMs) {
    if (confirmedMs.isEmpty() || atMs > confirmedMs.getAsLong()) {
      confirmedMs = OptionalLong.of(atMs);
    }
  }

  /** Notes the answer of a peer to a question sent at {@code askedMs}. */
  void heard(String peer, long askedMs, long version, int knownNodes) {
    heard.put(peer, new Heard(askedMs, version, knownNodes));
    heard.values().removeIf(h -> h.askedMs() < clock.nowMs() - boundMs);
  }

  boolean everConfirmed() {
    return confirmedMs.isPresent();
  }

  /** Returns the age of the last confirmation; the time since the epoch when there is none. */
  long ageMs() {
    return Math.max(0, clock.nowMs() - confirmedMs.orElse(0));
  }

  boolean isFresh(long version) {
    boolean confirmedLately = everConfirmed() && ageMs() <= boundMs;
    return confirmedLately || (version > 0 && mostPeersAgree(version));
  }

  /** Returns whether this node is in touch with more than half of the known nodes. */
  boolean seesMajority() {
    int known =
        Math.max(
            ring.knownCount(), heard.values().stream().mapToInt(Heard::knownNodes).max().orElse(0));
    return ring.live().size() * 2 > known;
  }

  private boolean mostPeersAgree(long version) {
    long since = clock.nowMs() - boundMs;
    long agreeing =
        ring.fingers().stream()
            .map(heard::get)
            .filter(h -> h != null && h.askedMs() >= since && h.version() <= version)
            .count();
    boolean newerHeard = heard.values().stream().anyMatch(h -> h.version() > version);
    return !newerHeard && agreeing * 2 > ring.fingers().size() && seesMajority();
  }
}
