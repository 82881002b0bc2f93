package org.currantslip.standin.object;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Versioned objects in name order. */
final class ObjectTable {
  /** An object as it is stored. */
  record Entry(String name, long version, ByteString value) {}

  @GuardedBy("this")
  private final NavigableMap<String, Entry> objects = new TreeMap<>();

  /** Last version of each deleted name, so that a name's versions never repeat. */
  @GuardedBy("this")
  private final Map<String, Long> deleted = new HashMap<>();

  synchronized Optional<Entry> get(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  /** Stores a value if the object has this version (zero: is missing); empty on a conflict. */
  synchronized OptionalLong put(String name, ByteString value, long expected) {
    if (versionOf(name) != expected) {
      return OptionalLong.empty();
    }
    Long before = deleted.remove(name);
    long version = (before == null ? expected : before) + 1;
    objects.put(name, new Entry(name, version, value));
    return OptionalLong.of(version);
  }

  synchronized boolean delete(String name, long expected) {
    if (expected == 0 || versionOf(name) != expected) {
      return false;
    }
    objects.remove(name);
    deleted.put(name, expected);
    return true;
  }

  synchronized List<Entry> list(String prefix, String after, int limit) {
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    return objects.tailMap(from, !from.equals(after)).values().stream()
        .takeWhile(e -> e.name().startsWith(prefix))
        .limit(limit)
        .toList();
  }

  @GuardedBy("this")
  private long versionOf(String name) {
    Entry entry = objects.get(name);
    return entry == null ? 0 : entry.version();
  }
}
