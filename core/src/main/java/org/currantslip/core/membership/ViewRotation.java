package org.currantslip.core.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Selects members that heartbeats describe in turn besides those that changed, so that a node that
 * missed a change, or started after it, learns of it all the same.
 */
final class ViewRotation {
  private static final int SUSPECTED_PER_HEARTBEAT = 4;
  private static final int OTHERS_PER_HEARTBEAT = 2;

  private String lastSuspected = "";
  private String lastOther = "";

  private ViewRotation() {}

  static ViewRotation create() {
    return new ViewRotation();
  }

  /** Returns the names of the members for the next heartbeat. */
  Set<String> next(TreeMap<String, Member> members) {
    Set<String> names = new LinkedHashSet<>();
    lastSuspected =
        add(
            members,
            m -> !m.isGone() && m.isSuspected(),
            lastSuspected,
            SUSPECTED_PER_HEARTBEAT,
            names);
    lastOther = add(members, m -> !m.isGone(), lastOther, OTHERS_PER_HEARTBEAT, names);
    return names;
  }

  /** Adds matching members that follow a name, wrapping around; returns the last one added. */
  private static String add(
      TreeMap<String, Member> members,
      Predicate<Member> condition,
      String after,
      int count,
      Set<String> names) {
    List<String> added =
        Stream.concat(
                members.tailMap(after, false).entrySet().stream(),
                members.headMap(after, true).entrySet().stream())
            .filter(e -> condition.test(e.getValue()))
            .limit(count)
            .map(Map.Entry::getKey)
            .toList();
    names.addAll(added);
    return added.isEmpty() ? after : added.get(added.size() - 1);
  }
}
