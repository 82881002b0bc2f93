package org.currantslip.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/**
 * Node lists derived from the known members.
 *
 * @param known nodes that are not gone; the same list as long as they are the same nodes
 * @param serving nodes that are live and serve
 * @param entries nodes that callers may be sent to
 * @param reaching serving nodes that reach endpoints as far as is known
 * @param untilMs time at which the next suspicion expires and the lists become invalid
 */
record NodeLists(
    List<NodeRecord> known,
    List<NodeRecord> live,
    List<NodeRecord> serving,
    List<NodeRecord> entries,
    List<NodeRecord> reaching,
    Set<String> targets,
    long untilMs) {
  static final NodeLists STALE =
      new NodeLists(
          List.of(), List.of(), List.of(), List.of(), List.of(), Set.of(), Long.MIN_VALUE);

  /**
   * Derives the lists.
   *
   * @param selfUnreachable whether this node reaches no endpoint
   * @param previous the lists before
   */
  static NodeLists of(
      NodeRecord self,
      boolean selfUnreachable,
      Map<String, Member> members,
      long nowMs,
      MembershipOptions options,
      NodeLists previous) {
    List<NodeRecord> live =
        Stream.concat(
                Stream.of(self),
                members.values().stream()
                    .filter(m -> m.isLive(nowMs, options.suspicionMs()))
                    .map(Member::nodeRecord))
            .sorted(Comparator.comparing(n -> n.getId().getName()))
            .toList();
    List<NodeRecord> serving =
        live.stream().filter(n -> n.getState() == NodeState.SERVING).toList();
    List<NodeRecord> reaching =
        serving.stream()
            .filter(
                n ->
                    Optional.ofNullable(members.get(n.getId().getName()))
                        .map(m -> !m.isUnreachable(nowMs))
                        .orElse(!selfUnreachable))
            .toList();
    LongStream suspicionsEndMs =
        members.values().stream()
            .filter(m -> m.isSuspected() && m.isLive(nowMs, options.suspicionMs()))
            .mapToLong(m -> nowMs - m.suspectedForMs(nowMs) + options.suspicionMs());
    LongStream unreachableUntilMs =
        members.values().stream().mapToLong(m -> m.unreachableUntilMs(nowMs));
    List<NodeRecord> known =
        Stream.concat(
                Stream.of(self),
                members.values().stream().filter(m -> !m.isGone()).map(Member::nodeRecord))
            .toList();
    return new NodeLists(
        known.equals(previous.known()) ? previous.known() : known,
        live,
        serving,
        reaching.isEmpty() ? serving : reaching,
        reaching,
        HeartbeatRing.targets(self, live, options),
        LongStream.concat(suspicionsEndMs, unreachableUntilMs).min().orElse(Long.MAX_VALUE));
  }

  boolean isValid(long nowMs) {
    return nowMs < untilMs;
  }
}
