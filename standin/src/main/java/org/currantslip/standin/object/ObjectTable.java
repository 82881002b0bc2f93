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

/** Objects by kind and name, with one revision counter and the history of their changes. */
final class ObjectTable {
  /** An object as it is stored. */
  record Entry(
      String kind, String name, long revision, long created, JsonNode spec, JsonNode status) {}

  /** A change: the object after it, or its last state when it was removed. */
  record Event(long revision, Entry entry, boolean removed) {}

  /** What a change came to; the entry is the object as it stands. */
  record Result(boolean done, Optional<Entry> entry) {}

  private static final int MAX_HISTORY = 50_000;

  @GuardedBy("this")
  private final NavigableMap<String, Entry> objects = new TreeMap<>();

  @GuardedBy("this")
  private final Deque<Event> history = new ArrayDeque<>();

  @GuardedBy("this")
  private long revision;

  @GuardedBy("this")
  private long forgotten;

  private static String key(String kind, String name) {
    return kind + "/" + name;
  }

  synchronized long revision() {
    return revision;
  }

  synchronized Optional<Entry> get(String kind, String name) {
    return Optional.ofNullable(objects.get(key(kind, name)));
  }

  synchronized Result create(String kind, String name, JsonNode spec) {
    Optional<Entry> known = get(kind, name);
    if (known.isPresent()) {
      return new Result(false, known);
    }
    long next = revision + 1;
    return store(new Entry(kind, name, next, next, spec, NullNode.getInstance()));
  }

  /** Replaces spec or status of an object that has this revision. */
  synchronized Result replace(
      String kind, String name, JsonNode value, boolean status, long expected) {
    Entry old = objects.get(key(kind, name));
    if (old == null || old.revision() != expected) {
      return new Result(false, Optional.ofNullable(old));
    }
    JsonNode spec = status ? old.spec() : value;
    JsonNode newStatus = status ? value : old.status();
    if (spec.equals(old.spec()) && newStatus.equals(old.status())) {
      return new Result(true, Optional.of(old));
    }
    return store(new Entry(kind, name, revision + 1, old.created(), spec, newStatus));
  }

  synchronized Result delete(String kind, String name, long expected) {
    Entry old = objects.get(key(kind, name));
    if (old == null || old.revision() != expected) {
      return new Result(false, Optional.ofNullable(old));
    }
    objects.remove(key(kind, name));
    revision++;
    remember(new Event(revision, old, true));
    return new Result(true, Optional.of(old));
  }

  @GuardedBy("this")
  private Result store(Entry entry) {
    revision = entry.revision();
    objects.put(key(entry.kind(), entry.name()), entry);
    remember(new Event(revision, entry, false));
    return new Result(true, Optional.of(entry));
  }

  @GuardedBy("this")
  private void remember(Event event) {
    history.add(event);
    if (history.size() > MAX_HISTORY) {
      forgotten = history.remove().revision();
    }
  }

  synchronized List<Entry> list(String kind, String after, int limit) {
    String from = key(kind, after);
    return objects.tailMap(from, after.isEmpty()).values().stream()
        .takeWhile(e -> e.kind().equals(kind))
        .limit(limit)
        .toList();
  }

  /** Returns the changes after a revision; empty if they are no longer known. */
  synchronized Optional<List<Event>> changes(long after, Predicate<Entry> matches) {
    if (after < forgotten) {
      return Optional.empty();
    }
    List<Event> found = new ArrayList<>();
    history.stream()
        .filter(e -> e.revision() > after && matches.test(e.entry()))
        .forEach(found::add);
    return Optional.of(found);
  }
}
