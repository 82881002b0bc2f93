package org.currantslip.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;

/**
 * Detects crashes of endpoints from broken responses.
 *
 * <p>All connections to an endpoint break when its process ends. Broken responses are therefore
 * merged per endpoint instance, and are no crash if other responses of the instance go on.
 */
final class CrashDetector {
  /** Time within which the connections of an ended process break. */
  private static final long MERGE_MS = 60;

  /** Time after which connections that have not broken count as lost if they show no progress. */
  private static final long UNDECIDED_MS = 500;

  /** Time for which an endpoint may still work on a request that the router has given up. */
  private static final long ABANDONED_MS = 3_000;

  private final Clock clock;
  private final Map<EndpointInstance, Calls> callsByEndpoint = new HashMap<>();

  private CrashDetector(Clock clock) {
    this.clock = clock;
  }

  static CrashDetector create(Clock clock) {
    return new CrashDetector(clock);
  }

  void onSent(PromptCall call) {
    callsByEndpoint.computeIfAbsent(call.endpoint(), e -> new Calls()).open.add(call);
  }

  void onProgress(PromptCall call) {
    Calls calls = callsByEndpoint.get(call.endpoint());
    if (calls != null) {
      calls.lastProgressMs = clock.nowMs();
    }
  }

  void onBroken(PromptCall call) {
    Calls calls = callsByEndpoint.get(call.endpoint());
    if (calls == null || !calls.open.remove(call)) {
      return;
    }
    long nowMs = clock.nowMs();
    if (calls.broken.isEmpty()) {
      calls.firstBrokenMs = nowMs;
    }
    calls.lastBrokenMs = nowMs;
    calls.broken.add(call);
  }

  /** Removes a call that ended in another way. */
  void onEnded(PromptCall call) {
    Calls calls = callsByEndpoint.get(call.endpoint());
    if (calls != null) {
      calls.open.remove(call);
    }
  }

  /** Removes a call that the router gave up, though the endpoint may still work on it. */
  void onAbandoned(PromptCall call) {
    Calls calls = callsByEndpoint.get(call.endpoint());
    if (calls != null && calls.open.remove(call)) {
      calls.abandoned.add(new Abandoned(call, clock.nowMs()));
    }
  }

  /** Drops the calls that broke, as their endpoints have not crashed. */
  void forgetBroken() {
    callsByEndpoint.values().forEach(calls -> calls.broken.clear());
  }

  /** Returns the crashes that have become certain. */
  List<Crash> poll() {
    long nowMs = clock.nowMs();
    List<Crash> crashes = new ArrayList<>();
    callsByEndpoint.forEach(
        (endpoint, calls) -> calls.crash(endpoint, nowMs).ifPresent(crashes::add));
    callsByEndpoint.values().removeIf(calls -> calls.isEmpty(nowMs));
    return crashes.stream().filter(crash -> !crash.suspects().isEmpty()).toList();
  }

  /** Calls of one endpoint instance. */
  private static final class Calls {
    private final Set<PromptCall> open = new HashSet<>();
    private final List<PromptCall> broken = new ArrayList<>();
    private final List<Abandoned> abandoned = new ArrayList<>();
    private long firstBrokenMs;
    private long lastBrokenMs;
    private long lastProgressMs = Long.MIN_VALUE;

    private boolean isEmpty(long nowMs) {
      abandoned.removeIf(a -> nowMs - a.abandonedMs() >= ABANDONED_MS);
      return open.isEmpty() && broken.isEmpty() && abandoned.isEmpty();
    }

    private Optional<Crash> crash(EndpointInstance endpoint, long nowMs) {
      if (broken.isEmpty() || nowMs - lastBrokenMs < MERGE_MS) {
        return Optional.empty();
      }
      // Data of other connections may have been waiting when the first one broke.
      if (lastProgressMs > firstBrokenMs + MERGE_MS) {
        broken.clear();
        return Optional.empty();
      }
      boolean undecided = open.stream().anyMatch(call -> call.sentMs() <= firstBrokenMs);
      if (undecided && nowMs - firstBrokenMs < UNDECIDED_MS) {
        return Optional.empty();
      }
      Crash crash = new Crash(endpoint, firstBrokenMs, suspects());
      broken.clear();
      abandoned.clear();
      return Optional.of(crash);
    }

    private Map<Fingerprint, Long> suspects() {
      Map<Fingerprint, Long> sentMs = new LinkedHashMap<>();
      broken.forEach(call -> addParts(call, sentMs));
      if (!sentMs.isEmpty()) {
        abandoned.forEach(a -> addParts(a.call(), sentMs));
      }
      // An endpoint may answer a part of a request that makes it crash.
      Stream.concat(broken.stream(), abandoned.stream().map(Abandoned::call))
          .forEach(call -> call.request().ifPresent(key -> add(key, call, sentMs)));
      return sentMs;
    }

    private static void addParts(PromptCall call, Map<Fingerprint, Long> sentMs) {
      if (!call.progressed()) {
        call.parts().forEach(key -> add(key, call, sentMs));
      }
    }

    private static void add(Fingerprint key, PromptCall call, Map<Fingerprint, Long> sentMs) {
      sentMs.merge(key, call.sentMs(), Math::max);
    }
  }

  private record Abandoned(PromptCall call, long abandonedMs) {}
}
