package org.currantslip.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.currantslip.core.common.Clock;
import org.currantslip.standin.http.Json;

/** LRU cache of prompt prefixes; its events become visible late and some are dropped. */
final class PrefixCache {
  private static final int MAX_EVENTS = 10_000;

  private record Event(long sequence, boolean stored, long prefixHash, long atMs) {}

  private final Clock clock;
  private final int capacity;
  private final long lagMs;
  private final int lossInterval;
  private final Set<Long> prefixes = new LinkedHashSet<>();
  private final Deque<Event> events = new ArrayDeque<>();
  private long sequence;

  PrefixCache(Clock clock, int capacity, long lagMs, int lossInterval) {
    this.clock = clock;
    this.capacity = capacity;
    this.lagMs = lagMs;
    this.lossInterval = lossInterval;
  }

  /** Marks a prefix as most recently used and returns whether it was cached. */
  synchronized boolean touch(long prefixHash) {
    boolean cached = prefixes.remove(prefixHash);
    prefixes.add(prefixHash);
    if (!cached) {
      addEvent(true, prefixHash);
    }
    if (prefixes.size() > capacity) {
      Iterator<Long> oldest = prefixes.iterator();
      long evicted = oldest.next();
      oldest.remove();
      addEvent(false, evicted);
    }
    return cached;
  }

  synchronized ObjectNode eventsAfter(long after) {
    ObjectNode answer = Json.object();
    ArrayNode items = answer.putArray("events");
    long visibleUntilMs = clock.nowMs() - lagMs;
    events.stream()
        .filter(e -> e.sequence() > after && e.atMs() <= visibleUntilMs)
        .forEach(
            e ->
                items
                    .addObject()
                    .put("seq", e.sequence())
                    .put("kind", e.stored() ? "stored" : "evicted")
                    .put("prefix_hash", e.prefixHash())
                    .put("at_ms", e.atMs()));
    return answer;
  }

  private void addEvent(boolean stored, long prefixHash) {
    sequence++;
    boolean lost = lossInterval > 0 && sequence % lossInterval == 0;
    if (!lost) {
      events.addLast(new Event(sequence, stored, prefixHash, clock.nowMs()));
    }
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }
}
