package org.currantslip.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.NodeRecord;

/**
 * Chooses the peer that runs a request: the one with less work from this node out of two at random.
 * Peers of this node's failure domain come last, since the fault may concern the whole domain.
 */
final class HelperChoice {
  /** A peer that refused or was lost is left alone for this time. */
  private static final long REST_MS = 300;

  private final Clock clock;
  private final String failureDomain;
  private final Supplier<List<NodeRecord>> reachingPeers;
  private final SplittableRandom random;
  private final Map<String, Long> restUntilMs = new HashMap<>();

  private HelperChoice(
      Clock clock, String failureDomain, Supplier<List<NodeRecord>> reachingPeers, long seed) {
    this.clock = clock;
    this.failureDomain = failureDomain;
    this.reachingPeers = reachingPeers;
    random = new SplittableRandom(seed);
  }

  static HelperChoice create(
      Clock clock, String failureDomain, Supplier<List<NodeRecord>> reachingPeers, long seed) {
    return new HelperChoice(clock, failureDomain, reachingPeers, seed);
  }

  /** Leaves a peer alone for a short time. */
  void rest(String peer) {
    restUntilMs.values().removeIf(untilMs -> untilMs <= clock.nowMs());
    restUntilMs.put(peer, clock.nowMs() + REST_MS);
  }

  Optional<String> choose(
      Predicate<String> allowedRegion, Set<String> excluded, ToIntFunction<String> openRelays) {
    List<NodeRecord> allowed =
        reachingPeers.get().stream()
            .filter(n -> allowedRegion.test(n.getRegion()))
            .filter(n -> !excluded.contains(n.getId().getName()))
            .filter(n -> restUntilMs.getOrDefault(n.getId().getName(), 0L) <= clock.nowMs())
            .toList();
    List<NodeRecord> otherDomains =
        allowed.stream().filter(n -> !n.getFailureDomain().equals(failureDomain)).toList();
    List<NodeRecord> candidates = otherDomains.isEmpty() ? allowed : otherDomains;
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    String first = pick(candidates);
    String second = pick(candidates);
    return Optional.of(
        openRelays.applyAsInt(second) < openRelays.applyAsInt(first) ? second : first);
  }

  private String pick(List<NodeRecord> candidates) {
    return candidates.get(random.nextInt(candidates.size())).getId().getName();
  }
}
