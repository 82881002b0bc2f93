package org.currantslip.core.mirror;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.schema.NodeRecord;

/**
 * Selects the nodes that watch the store, and the watcher that each other node follows.
 *
 * <p>A few nodes of each failure domain, selected by the hash of their names, watch the store, so
 * that the number of store calls does not grow with the fleet. The selection needs no consensus: a
 * node that is asked but does not watch replies so, and the requester turns to another watcher or
 * to the store.
 */
public final class StoreWatchers {
  /** Tolerates the loss of one watcher; its followers then use the other. */
  private static final int WATCHERS_PER_DOMAIN = 2;

  /** Long enough for the membership to detect that a watcher is gone. */
  private static final long AVOID_MS = 2_000;

  private final Membership membership;
  private final Clock clock;
  private final Map<String, Long> avoidedUntilMs = new HashMap<>();
  private List<NodeRecord> lastLive = List.of();
  private List<String> watchers = List.of();
  private Optional<String> followed = Optional.empty();

  private StoreWatchers(Membership membership, Clock clock) {
    this.membership = membership;
    this.clock = clock;
  }

  /** Returns a selector over the live nodes of this node's failure domain. */
  public static StoreWatchers create(Membership membership, Clock clock) {
    return new StoreWatchers(membership, clock);
  }

  /** Returns whether this node must watch the store itself. */
  public boolean isWatcher() {
    return watchers().contains(self());
  }

  /** Returns the watcher to ask; empty if this node must use the store itself. */
  public Optional<String> watcher() {
    if (isWatcher()) {
      return Optional.empty();
    }
    long nowMs = clock.nowMs();
    avoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    return watchers().stream()
        .filter(name -> !avoidedUntilMs.containsKey(name))
        .min(Comparator.comparingLong(name -> hash(self(), name)));
  }

  /** Excludes for a while a watcher that did not answer or does not watch. */
  public void avoid(String watcher) {
    avoidedUntilMs.put(watcher, clock.nowMs() + AVOID_MS);
  }

  /** Returns the watcher that this node follows, if it differs from that of the previous call. */
  public Optional<Optional<String>> pollWatcherChange() {
    Optional<String> current = watcher();
    if (current.equals(followed)) {
      return Optional.empty();
    }
    followed = current;
    return Optional.of(current);
  }

  private String self() {
    return membership.self().getId().getName();
  }

  private List<String> watchers() {
    List<NodeRecord> live = membership.live();
    if (live != lastLive) {
      lastLive = live;
      String domain = membership.self().getFailureDomain();
      watchers =
          live.stream()
              .filter(n -> n.getFailureDomain().equals(domain))
              .map(n -> n.getId().getName())
              .sorted(Comparator.comparingLong(name -> hash(domain, name)))
              .limit(WATCHERS_PER_DOMAIN)
              .toList();
    }
    return watchers;
  }

  private static long hash(String salt, String name) {
    return Hashing.murmur3_128().hashString(salt + '\0' + name, StandardCharsets.UTF_8).asLong();
  }
}
