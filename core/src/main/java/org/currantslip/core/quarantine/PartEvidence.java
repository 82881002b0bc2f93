package org.currantslip.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Counts the crashes of endpoints under each part since its last success.
 *
 * <p>Endpoints that crash at the same moment may have a common cause, so their crashes count once,
 * unless there are many of them or the part was sent again after the crash before. A part that was
 * answered before is not convicted of crashes that the conviction of another part explains.
 */
final class PartEvidence {
  private static final int MAX_PARTS = 4_096;
  private static final int MAX_CRASHES = 16;
  private static final int MAX_EXPLAINED = 1_024;

  /** Crashes at distinct times after which a part is convicted. */
  private static final int SERIAL_CRASHES = 3;

  /** Crashes at any time after which a part is convicted. */
  private static final int CRASHES = 5;

  /** Crashes at distinct times after which a part is convicted that was answered before. */
  private static final int SERIAL_CRASHES_AFTER_SUCCESS = 6;

  private static final long DISTINCT_MS = 250;

  /** Minimum time between two crashes of an endpoint whose start is not known exactly. */
  private static final long RESTART_MS = 3_000;

  private static final long MAX_AGE_MS = 86_400_000;
  private static final long NEVER = Long.MIN_VALUE;

  private final Map<PartKey, Streak> streaks = RecentMap.ofSize(MAX_PARTS);
  private final Map<EndpointInstance, Long> explainedMs = RecentMap.ofSize(MAX_EXPLAINED);

  private PartEvidence() {}

  static PartEvidence create() {
    return new PartEvidence();
  }

  /** Records that an endpoint crashed while it had a request with this part. */
  void addCrash(PartKey key, EndpointInstance endpoint, long crashedMs, long sentMs) {
    streaks.computeIfAbsent(key, k -> new Streak()).add(new Sighting(endpoint, crashedMs, sentMs));
  }

  /** Records that a convicted part is the cause of a crash. */
  void addExplained(EndpointInstance endpoint, long crashedMs) {
    explainedMs.put(endpoint, crashedMs);
  }

  private boolean isExplained(Sighting sighting) {
    Long crashedMs = explainedMs.get(sighting.endpoint());
    return crashedMs != null && Math.abs(crashedMs - sighting.crashedMs()) < RESTART_MS;
  }

  /** Records that a request with this part was answered. */
  void addSuccess(PartKey key, long succeededMs) {
    streaks.computeIfAbsent(key, k -> new Streak()).clear(succeededMs);
  }

  /** Returns whether the part makes endpoints crash. */
  boolean isConvicted(PartKey key) {
    Streak streak = streaks.get(key);
    if (streak == null) {
      return false;
    }
    return streak.lastSuccessMs == NEVER
        ? streak.sightings.size() >= CRASHES || serialCrashes(streak.sightings) >= SERIAL_CRASHES
        : serialCrashes(streak.sightings.stream().filter(s -> !isExplained(s)).toList())
            >= SERIAL_CRASHES_AFTER_SUCCESS;
  }

  /** Counts the crashes that cannot have a common cause other than the part. */
  private static int serialCrashes(List<Sighting> sightings) {
    int count = 0;
    long lastCountedMs = NEVER;
    for (Sighting s : sightings) {
      if (count == 0
          || s.crashedMs() - lastCountedMs >= DISTINCT_MS
          || s.sentMs() > lastCountedMs) {
        count++;
        lastCountedMs = s.crashedMs();
      }
    }
    return count;
  }

  /** Returns the time of the first crash under the part since its last success. */
  long firstCrashMs(PartKey key) {
    Streak streak = streaks.get(key);
    return streak == null || streak.sightings.isEmpty()
        ? Long.MAX_VALUE
        : streak.sightings.get(0).crashedMs();
  }

  /** Returns the number of endpoints that crashed under the part since its last success. */
  int crashCount(PartKey key) {
    Streak streak = streaks.get(key);
    return streak == null ? 0 : streak.sightings.size();
  }

  /** Returns the crashes that a convicted part explains. */
  List<Crash> explainedCrashes(PartKey key) {
    Streak streak = streaks.get(key);
    return streak == null || streak.lastSuccessMs != NEVER
        ? List.of()
        : streak.sightings.stream()
            .map(s -> new Crash(s.endpoint(), s.crashedMs(), Map.of()))
            .toList();
  }

  private record Sighting(EndpointInstance endpoint, long crashedMs, long sentMs) {
    private boolean isSameCrash(Sighting other) {
      return endpoint.equals(other.endpoint) && Math.abs(crashedMs - other.crashedMs) < RESTART_MS;
    }

    private Sighting merge(Sighting other) {
      return new Sighting(
          endpoint, Math.min(crashedMs, other.crashedMs), Math.max(sentMs, other.sentMs));
    }
  }

  /** Crashes under one part since its last success, in order of time. */
  private static final class Streak {
    private final List<Sighting> sightings = new ArrayList<>();
    private long lastSuccessMs = NEVER;

    private void add(Sighting added) {
      if (added.crashedMs() <= lastSuccessMs) {
        return;
      }
      sightings.removeIf(s -> added.crashedMs() - s.crashedMs() >= MAX_AGE_MS);
      for (int i = 0; i < sightings.size(); i++) {
        if (sightings.get(i).isSameCrash(added)) {
          sightings.set(i, sightings.get(i).merge(added));
          return;
        }
      }
      if (sightings.size() < MAX_CRASHES) {
        sightings.add(added);
        sightings.sort(Comparator.comparingLong(Sighting::crashedMs));
      }
    }

    private void clear(long succeededMs) {
      lastSuccessMs = Math.max(lastSuccessMs, succeededMs);
      sightings.removeIf(s -> s.crashedMs() <= succeededMs);
    }
  }
}
