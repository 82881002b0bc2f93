package org.currantslip.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/**
 * Node lists derived from the known members.
 *
 * @param untilMs time at which the next suspicion expires and the lists become invalid
 */
record NodeLists(
    List<NodeRecord> live, List<NodeRecord> entries, Set<String> targets, long untilMs) {
  static final NodeLists STALE = new NodeLists(List.of(), List.of(), Set.of(), Long.MIN_VALUE);

  static NodeLists of(
      NodeRecord self, Collection<Member> members, long nowMs, MembershipOptions options) {
    List<NodeRecord> live =
        Stream.concat(
                Stream.of(self),
                members.stream()
                    .filter(m -> m.isLive(nowMs, options.suspicionMs()))
                    .map(Member::nodeRecord))
            .sorted(Comparator.comparing(n -> n.getId().getName()))
            .toList();
    long untilMs =
        members.stream()
            .filter(m -> m.isSuspected() && m.isLive(nowMs, options.suspicionMs()))
            .mapToLong(m -> nowMs - m.suspectedForMs(nowMs) + options.suspicionMs())
            .min()
            .orElse(Long.MAX_VALUE);
    return new NodeLists(
        live,
        live.stream().filter(n -> n.getState() == NodeState.SERVING).toList(),
        HeartbeatRing.targets(self, live, options),
        untilMs);
  }

  boolean isValid(long nowMs) {
    return nowMs < untilMs;
  }
}
