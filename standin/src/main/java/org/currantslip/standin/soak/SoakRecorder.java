package org.currantslip.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Records executions and answers, and finds those that violate a guarantee. */
final class SoakRecorder {
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, String> notRunAnswers = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();

  void addRun(String id) {
    runs.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
  }

  int runs(String id) {
    AtomicInteger count = runs.get(id);
    return count == null ? 0 : count.get();
  }

  /** Records that a caller was told that its request did not run. */
  void addNotRunAnswer(String id, String answer) {
    notRunAnswers.put(id, answer);
  }

  /** Counts how a request ended for its caller. */
  void addOutcome(String description) {
    outcomes.computeIfAbsent(description, k -> new AtomicInteger()).incrementAndGet();
  }

  /** Records a violated guarantee. */
  void addViolation(String guarantee, String detail) {
    violations.add(guarantee + " " + detail);
  }

  Map<String, AtomicInteger> outcomes() {
    return outcomes;
  }

  /** Returns all violations; call it after all requests have ended. */
  List<String> allViolations(String oncePath) {
    List<String> all = new ArrayList<>(violations);
    runs.forEach(
        (id, count) -> {
          if (id.startsWith(oncePath) && count.get() > 1) {
            all.add("TWICE " + id + " ran " + count + " times");
          }
        });
    notRunAnswers.forEach(
        (id, answer) -> {
          if (runs(id) > 0) {
            all.add("FALSE_NOT_RUN " + id + " ran, but its caller was told " + answer);
          }
        });
    return all;
  }
}
