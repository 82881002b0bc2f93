package org.currantslip.core.mirror;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/** Names of the objects that changed lately, with the revision at which this node learnt of it. */
final class ChangeLog {
  /** Twice the largest fleet of endpoints, all of which may be replaced in one go. */
  private static final int MAX_ENTRIES = 4_096;

  private record Entry(long revision, String name) {}

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long completeAfter = Long.MAX_VALUE;

  private ChangeLog() {}

  /** Returns a log that knows of no revision yet. */
  static ChangeLog create() {
    return new ChangeLog();
  }

  /** Sets the revision after which all changes will be added. */
  void startAt(long revision) {
    completeAfter = revision;
  }

  /** Adds what changed up to a revision, which is not below that of earlier entries. */
  void add(long revision, Collection<String> names) {
    names.forEach(name -> entries.add(new Entry(revision, name)));
    while (entries.size() > MAX_ENTRIES) {
      completeAfter = entries.remove().revision();
    }
  }

  /** Returns what changed after a revision, each name once; empty when not all of it is known. */
  Optional<Set<String>> namesAfter(long revision) {
    if (revision < completeAfter) {
      return Optional.empty();
    }
    Set<String> names = new LinkedHashSet<>();
    entries.stream().filter(e -> e.revision() > revision).forEach(e -> names.add(e.name()));
    return Optional.of(names);
  }
}
