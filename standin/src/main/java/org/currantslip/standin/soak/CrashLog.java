package org.currantslip.standin.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Counts, for each request that crashes endpoints, the crashes and the sends after the third. */
final class CrashLog {
  private static final int CRASHES = 3;
  private static final int MAX_LATE_SENDS = 3;

  /** Time after the third crash until the bound holds; equals contact_ms of the sites. */
  static final long CONTACT_MS = 3_000;

  private final Map<String, List<Long>> crashes = new ConcurrentSkipListMap<>();
  private final Map<String, List<Long>> sends = new ConcurrentSkipListMap<>();

  /** Records that a node without faults sent the request to an endpoint. */
  void addSend(String mark, long atMs) {
    sends.computeIfAbsent(mark, k -> new CopyOnWriteArrayList<>()).add(atMs);
  }

  /** Records that an endpoint ended under the request. */
  void addCrash(String mark, long atMs) {
    crashes.computeIfAbsent(mark, k -> new CopyOnWriteArrayList<>()).add(atMs);
  }

  /** Returns the requests that were sent too often after they had crashed three endpoints. */
  List<String> violations() {
    return crashes.keySet().stream()
        .filter(mark -> lateSends(mark) > MAX_LATE_SENDS)
        .map(mark -> "BUDGET " + describe(mark))
        .toList();
  }

  List<String> summary() {
    return crashes.keySet().stream().map(this::describe).toList();
  }

  private long lateSends(String mark) {
    Optional<Long> third = times(crashes, mark).stream().sorted().skip(CRASHES - 1).findFirst();
    return third.stream()
        .flatMap(atMs -> times(sends, mark).stream().filter(sentMs -> sentMs > atMs + CONTACT_MS))
        .count();
  }

  private static List<Long> times(Map<String, List<Long>> log, String mark) {
    return log.getOrDefault(mark, List.of());
  }

  private String describe(String mark) {
    return "%s ended %d endpoints and was sent %d times later than %d ms after the third"
        .formatted(mark, times(crashes, mark).size(), lateSends(mark), CONTACT_MS);
  }
}
