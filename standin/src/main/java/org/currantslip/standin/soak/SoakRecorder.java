package org.currantslip.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Records executions and answers, and finds those that violate a guarantee. */
final class SoakRecorder {
  /** Maximum number of lost answers in a run beside faults elsewhere. */
  private static final int MAX_LOST = 3;

  /** Endpoints that began to run each request. */
  private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

  private final Set<String> aborted = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
  private final Map<String, Integer> failures = new ConcurrentHashMap<>();
  private final CrashLog crashes = new CrashLog();
  private final Map<String, String> notRunAnswers = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();

  void addRun(String id, String endpoint) {
    runs.computeIfAbsent(id, k -> new CopyOnWriteArrayList<>()).add(endpoint);
  }

  /** Returns the endpoints that began to run a request. */
  List<String> runs(String id) {
    return runs.getOrDefault(id, List.of());
  }

  /** Records that an endpoint closed the connection of a request. */
  void addAborted(String id) {
    aborted.add(id);
  }

  boolean isAborted(String id) {
    return aborted.contains(id);
  }

  /** Records that the answer of an undisturbed endpoint was lost beside faults elsewhere. */
  void addLost(String detail) {
    lost.add(detail);
  }

  /** Records that a node without faults answered with a failure before the timeout. */
  void addFailure(String id, int status) {
    failures.put(id, status);
  }

  CrashLog crashes() {
    return crashes;
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
        (id, endpoints) -> {
          if (id.startsWith(oncePath) && endpoints.size() > 1) {
            all.add("TWICE " + id + " ran " + endpoints.size() + " times");
          }
        });
    notRunAnswers.forEach(
        (id, answer) -> {
          if (!runs(id).isEmpty()) {
            all.add("FALSE_NOT_RUN " + id + " ran, but its caller was told " + answer);
          }
        });
    failures.forEach(
        (id, status) -> {
          if (!runs(id).isEmpty() && !isAborted(id)) {
            all.add("GIVEN_UP " + id + " ran, but its caller was told " + status);
          }
        });
    if (lost.size() > MAX_LOST) {
      lost.forEach(detail -> all.add("LOST " + detail));
    }
    all.addAll(crashes.violations());
    return all;
  }
}
