package org.currantslip.core.mirror;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Names of recently changed objects, with the revision at which this node learned of each change.
 */
final class ChangeLog {
  /** Twice the size of the largest endpoint fleet, which may be replaced all at once. */
  private static final int MAX_ENTRIES = 4_096;

  private record Entry(long revision, String name) {}

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long completeAfterRevision = Long.MAX_VALUE;

  private ChangeLog() {}

  /** Returns an empty log that covers no revision yet. */
  static ChangeLog create() {
    return new ChangeLog();
  }

  /** Empties the log and sets the revision after which it is complete. */
  void startAt(long revision) {
    entries.clear();
    completeAfterRevision = revision;
  }

  /** Adds the names changed up to a revision, which must not be below that of earlier entries. */
  void add(long revision, Collection<String> names) {
    names.forEach(name -> entries.add(new Entry(revision, name)));
    while (entries.size() > MAX_ENTRIES) {
      completeAfterRevision = entries.remove().revision();
    }
  }

  /** Returns the distinct names changed after a revision; empty if the log is incomplete for it. */
  Optional<Set<String>> namesAfter(long revision) {
    if (revision < completeAfterRevision) {
      return Optional.empty();
    }
    Set<String> names = new LinkedHashSet<>();
    entries.stream().filter(e -> e.revision() > revision).forEach(e -> names.add(e.name()));
    return Optional.of(names);
  }
}
