package org.currantslip.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** What endpoints ran and what callers were told, and where these contradict a promise. */
final class SoakLedger {
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, String> notRun = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();

  void ran(String id) {
    runs.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
  }

  int runs(String id) {
    AtomicInteger count = runs.get(id);
    return count == null ? 0 : count.get();
  }

  /** Notes that a caller was told that its request did not run. */
  void toldNotRun(String id, String answer) {
    notRun.put(id, answer);
  }

  /** Counts how a request ended for its caller. */
  void outcome(String what) {
    outcomes.computeIfAbsent(what, k -> new AtomicInteger()).incrementAndGet();
  }

  /** Notes a broken promise. */
  void broke(String promise, String detail) {
    broken.add(promise + " " + detail);
  }

  Map<String, AtomicInteger> outcomes() {
    return outcomes;
  }

  /** Returns all broken promises; call it when nothing runs any more. */
  List<String> verdict(String oncePath) {
    List<String> all = new ArrayList<>(broken);
    runs.forEach(
        (id, count) -> {
          if (id.startsWith(oncePath) && count.get() > 1) {
            all.add("TWICE " + id + " ran " + count + " times");
          }
        });
    notRun.forEach(
        (id, answer) -> {
          if (runs(id) > 0) {
            all.add("FALSE_NOT_RUN " + id + " ran, and its caller was told " + answer);
          }
        });
    return all;
  }
}
