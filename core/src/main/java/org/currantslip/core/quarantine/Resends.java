package org.currantslip.core.quarantine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.common.Clock;

/** Schedules messages to be sent again, since they are not acknowledged. */
final class Resends<T> {
  private static final int MAX_PENDING = 1_024;
  private static final long[] DELAY_MS = {300, 1_000, 3_000};

  private final Clock clock;
  private final Map<T, Schedule> pending = new LinkedHashMap<>();

  private Resends(Clock clock) {
    this.clock = clock;
  }

  static <T> Resends<T> create(Clock clock) {
    return new Resends<>(clock);
  }

  /** Schedules the content of a message that was just sent for the first time. */
  void add(T content) {
    if (pending.size() < MAX_PENDING || pending.containsKey(content)) {
      pending.put(content, new Schedule(0, clock.nowMs() + DELAY_MS[0]));
    }
  }

  /** Returns the contents that are to be sent now. */
  List<T> poll() {
    long nowMs = clock.nowMs();
    List<T> due =
        pending.entrySet().stream()
            .filter(e -> e.getValue().dueMs() <= nowMs)
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(
        content ->
            pending.computeIfPresent(
                content,
                (c, s) ->
                    s.index() + 1 < DELAY_MS.length
                        ? new Schedule(s.index() + 1, nowMs + DELAY_MS[s.index() + 1])
                        : null));
    return due;
  }

  private record Schedule(int index, long dueMs) {}
}
