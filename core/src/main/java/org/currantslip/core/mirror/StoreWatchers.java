package org.currantslip.core.mirror;

import com.google.common.hash.Hashing;
import com.google.common.math.IntMath;
import com.google.common.primitives.Ints;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.schema.NodeRecord;
import org.jspecify.annotations.Nullable;

/**
 * Selects the nodes that watch the store, and the watcher that each other node follows.
 *
 * <p>One node of each failure domain, selected by the hash of the names, watches the store, and at
 * least two in all and one for every 32 nodes, so that the number of store calls hardly grows with
 * the fleet and that of the followers of a watcher is bounded. The others follow the watcher of
 * their domain, or that of another domain while theirs does not answer. The selection needs no
 * consensus: a node that is asked but does not watch replies so, and the requester turns to another
 * watcher or to the store.
 */
public final class StoreWatchers {
  /** Tolerates the loss of one watcher; its followers then use another. */
  private static final int MIN_WATCHERS = 2;

  /** Limits the time for a watcher to send a large change to all its followers. */
  private static final int MAX_NODES_PER_WATCHER = 32;

  /** Long enough for the membership to detect that a watcher is gone. */
  private static final long AVOID_MS = 2_000;

  private record Watcher(String name, String domain) {
    // Written out: the generated methods run through method handles, which the JVM's first
    // compiler,
    // the only one that nodes use, does not inline, and which each process links again.
    @Override
    public boolean equals(@Nullable Object obj) {
      return obj instanceof Watcher other && name.equals(other.name) && domain.equals(other.domain);
    }

    @Override
    public int hashCode() {
      return 31 * name.hashCode() + domain.hashCode();
    }
  }

  private final Membership membership;
  private final Clock clock;
  private final Map<String, Long> avoidedUntilMs = new HashMap<>();
  private List<NodeRecord> lastLive = List.of();
  private List<Watcher> watchers = List.of();
  private Optional<String> followed = Optional.empty();
  private BiConsumer<String, String> avoidListener = (watcher, reason) -> {};

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
    return watchers().stream().anyMatch(w -> w.name().equals(self()));
  }

  /** Returns the watcher to ask; empty if this node must use the store itself. */
  public Optional<String> watcher() {
    return isWatcher() ? Optional.empty() : nearest(answering());
  }

  /**
   * Returns the watcher that tells this node that there are changes: another one than {@link
   * #watcher}, or than this node if it watches the store itself.
   */
  Optional<String> announcer() {
    String source = isWatcher() ? self() : watcher().orElse("");
    return nearest(answering().filter(w -> !w.name().equals(source)));
  }

  private Stream<Watcher> answering() {
    long nowMs = clock.nowMs();
    avoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    return watchers().stream().filter(w -> !avoidedUntilMs.containsKey(w.name()));
  }

  /** Returns the watcher to ask while the store fails; it may be one that lost the store too. */
  Optional<String> watcherDuringOutage() {
    return isWatcher() ? Optional.empty() : nearest(watchers().stream());
  }

  private Optional<String> nearest(Stream<Watcher> candidates) {
    return candidates
        .min(
            Comparator.comparing((Watcher w) -> !w.domain().equals(ownDomain()))
                .thenComparingLong(w -> hash(self(), w.name())))
        .map(Watcher::name);
  }

  /** Sets the listener for watchers that are excluded for a while, and why. */
  public void setAvoidListener(BiConsumer<String, String> listener) {
    avoidListener = listener;
  }

  /** Excludes for a while a watcher that did not answer or does not watch. */
  public void avoid(String watcher, String reason) {
    avoidedUntilMs.put(watcher, clock.nowMs() + AVOID_MS);
    avoidListener.accept(watcher, reason);
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

  private String ownDomain() {
    return membership.self().getFailureDomain();
  }

  private List<Watcher> watchers() {
    List<NodeRecord> live = membership.live();
    if (live != lastLive) {
      lastLive = live;
      List<Watcher> ranked =
          live.stream()
              .map(n -> new Watcher(n.getId().getName(), n.getFailureDomain()))
              .sorted(Comparator.comparingLong(w -> hash(w.domain(), w.name())))
              .toList();
      Map<String, Watcher> firstByDomain = new LinkedHashMap<>();
      ranked.forEach(w -> firstByDomain.putIfAbsent(w.domain(), w));
      watchers =
          Stream.concat(firstByDomain.values().stream(), ranked.stream())
              .distinct()
              .limit(watcherCount(live.size(), firstByDomain.size()))
              .toList();
    }
    return watchers;
  }

  private static int watcherCount(int nodes, int domains) {
    int needed = IntMath.divide(nodes, MAX_NODES_PER_WATCHER, RoundingMode.CEILING);
    return Ints.max(MIN_WATCHERS, domains, needed);
  }

  private static long hash(String salt, String name) {
    return Hashing.murmur3_128().hashString(salt + '\0' + name, StandardCharsets.UTF_8).asLong();
  }
}
