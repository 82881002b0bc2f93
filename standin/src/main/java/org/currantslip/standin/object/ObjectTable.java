package org.currantslip.standin.object;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Objects by kind and name, with a global revision counter and a bounded change history. */
final class ObjectTable {
  /** A stored object. */
  record Entry(
      String kind, String name, long revision, long created, JsonNode spec, JsonNode status) {}

  /** A change with the object after it, or the last state of a removed object. */
  record Event(long revision, Entry entry, boolean removed) {}

  /** Result of a change; the entry is the current object, or the last state if deleted. */
  record Result(boolean applied, Optional<Entry> entry) {}

  /** The content at one revision, from which the table can be restored. */
  record Copy(NavigableMap<String, Entry> objects, long revision) {}

  private static final int MAX_HISTORY = 50_000;

  @GuardedBy("this")
  private final NavigableMap<String, Entry> objects = new TreeMap<>();

  @GuardedBy("this")
  private final Deque<Event> history = new ArrayDeque<>();

  @GuardedBy("this")
  private long revision;

  @GuardedBy("this")
  private long lastDroppedRevision;

  @GuardedBy("this")
  private long era;

  private static String key(String kind, String name) {
    return kind + "/" + name;
  }

  synchronized long revision() {
    return revision;
  }

  synchronized long era() {
    return era;
  }

  synchronized Copy copy() {
    return new Copy(new TreeMap<>(objects), revision);
  }

  /** Returns to a copy in a new era; revisions after that of the copy are assigned again. */
  synchronized void restore(Copy copy) {
    era++;
    objects.clear();
    objects.putAll(copy.objects());
    revision = copy.revision();
    history.removeIf(e -> e.revision() > copy.revision());
  }

  synchronized Optional<Entry> get(String kind, String name) {
    return Optional.ofNullable(objects.get(key(kind, name)));
  }

  synchronized Result create(String kind, String name, JsonNode spec) {
    Optional<Entry> existing = get(kind, name);
    if (existing.isPresent()) {
      return new Result(false, existing);
    }
    long next = revision + 1;
    return store(new Entry(kind, name, next, next, spec, NullNode.getInstance()));
  }

  /** Replaces the spec or status of an object if it has the expected revision. */
  synchronized Result replace(
      String kind, String name, JsonNode value, boolean status, long expected) {
    Entry current = objects.get(key(kind, name));
    if (current == null || current.revision() != expected) {
      return new Result(false, Optional.ofNullable(current));
    }
    JsonNode spec = status ? current.spec() : value;
    JsonNode newStatus = status ? value : current.status();
    if (spec.equals(current.spec()) && newStatus.equals(current.status())) {
      return new Result(true, Optional.of(current));
    }
    return store(new Entry(kind, name, revision + 1, current.created(), spec, newStatus));
  }

  synchronized Result delete(String kind, String name, long expected) {
    Entry current = objects.get(key(kind, name));
    if (current == null || current.revision() != expected) {
      return new Result(false, Optional.ofNullable(current));
    }
    objects.remove(key(kind, name));
    revision++;
    appendToHistory(new Event(revision, current, true));
    return new Result(true, Optional.of(current));
  }

  @GuardedBy("this")
  private Result store(Entry entry) {
    revision = entry.revision();
    objects.put(key(entry.kind(), entry.name()), entry);
    appendToHistory(new Event(revision, entry, false));
    return new Result(true, Optional.of(entry));
  }

  @GuardedBy("this")
  private void appendToHistory(Event event) {
    history.add(event);
    if (history.size() > MAX_HISTORY) {
      lastDroppedRevision = history.remove().revision();
    }
  }

  synchronized List<Entry> list(String kind, String after, int limit) {
    String from = key(kind, after);
    return objects.tailMap(from, after.isEmpty()).values().stream()
        .takeWhile(e -> e.kind().equals(kind))
        .limit(limit)
        .toList();
  }

  /** Returns the changes after a revision, or empty if the history no longer covers them. */
  synchronized Optional<List<Event>> changesAfter(long after, Predicate<Entry> matches) {
    if (after < lastDroppedRevision || after > revision) {
      return Optional.empty();
    }
    List<Event> matching = new ArrayList<>();
    history.stream()
        .filter(e -> e.revision() > after && matches.test(e.entry()))
        .forEach(matching::add);
    return Optional.of(matching);
  }
}
