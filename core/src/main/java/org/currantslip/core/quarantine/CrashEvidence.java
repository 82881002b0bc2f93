package org.currantslip.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts the crashes of endpoints under each fingerprint since its last success.
 *
 * <p>Endpoints that crash at the same moment may have a common cause, so their crashes count once,
 * unless there are many of them or the part was sent again after the crash before. A part that was
 * answered before is not convicted of crashes that the conviction of another part explains.
 *
 * <p>A whole request is convicted by three crashes at any time, unless the earlier conviction of
 * another one explains some of them.
 */
final class CrashEvidence {
  private static final int MAX_STREAKS = 8_192;
  private static final int MAX_CRASHES = 16;
  private static final int MAX_EXPLAINED = 1_024;
  private static final int MAX_CONVICTED = 256;

  /** Crashes at distinct times after which a part is convicted. */
  private static final int SERIAL_CRASHES = 3;

  /** Crashes at any time after which a part is convicted. */
  private static final int CRASHES = 5;

  /** Crashes at distinct times after which a part is convicted that was answered before. */
  private static final int SERIAL_CRASHES_AFTER_SUCCESS = 6;

  /** Crashes after which a request is convicted that no other conviction explains. */
  private static final int REQUEST_CRASHES = 3;

  private static final long DISTINCT_MS = 250;

  /** Minimum time between two crashes of an endpoint whose start is not known exactly. */
  private static final long RESTART_MS = 3_000;

  private static final long MAX_AGE_MS = 86_400_000;
  private static final long NEVER = Long.MIN_VALUE;

  private final Map<Fingerprint, Streak> streaks = RecentMap.ofSize(MAX_STREAKS);
  private final Map<EndpointInstance, Long> explainedMs = RecentMap.ofSize(MAX_EXPLAINED);
  private final Map<Fingerprint, List<Sighting>> convicted = RecentMap.ofSize(MAX_CONVICTED);
  private final Map<EndpointInstance, Set<Fingerprint>> explaining =
      RecentMap.ofSize(MAX_EXPLAINED);

  private CrashEvidence() {}

  static CrashEvidence create() {
    return new CrashEvidence();
  }

  /** Records that an endpoint crashed while it had a request with this part. */
  void addCrash(Fingerprint key, EndpointInstance endpoint, long crashedMs, long sentMs) {
    streaks.computeIfAbsent(key, k -> new Streak()).add(new Sighting(endpoint, crashedMs, sentMs));
  }

  /**
   * Records the crashes of which a fingerprint was convicted, and returns whether some are new. To
   * be called for each message, which may come several times.
   */
  boolean addExplained(Fingerprint key, List<Crash> crashes) {
    List<Sighting> sightings =
        crashes.stream()
            .map(c -> new Sighting(c.endpoint(), c.crashedMs(), c.crashedMs()))
            .sorted(Comparator.comparingLong(Sighting::crashedMs))
            .toList();
    List<Sighting> known = convicted.getOrDefault(key, List.of());
    if (sightings.stream().allMatch(s -> s.isAmong(known))) {
      return false;
    }
    convicted.put(key, sightings);
    for (Sighting s : sightings) {
      explainedMs.put(s.endpoint(), s.crashedMs());
      Set<Fingerprint> keys = explaining.computeIfAbsent(s.endpoint(), e -> new HashSet<>());
      keys.removeIf(k -> !convicted.containsKey(k));
      keys.add(key);
    }
    return true;
  }

  /** Records that a fingerprint explains nothing any more. */
  void removeExplained(Fingerprint key) {
    convicted.remove(key);
  }

  private boolean isExplained(Sighting sighting) {
    Long crashedMs = explainedMs.get(sighting.endpoint());
    return crashedMs != null && Math.abs(crashedMs - sighting.crashedMs()) < RESTART_MS;
  }

  /** Records that a request with this part was answered. */
  void addSuccess(Fingerprint key, long succeededMs) {
    streaks.computeIfAbsent(key, k -> new Streak()).clear(succeededMs);
  }

  /** Returns whether the part makes endpoints crash. */
  boolean isConvicted(Fingerprint key) {
    Streak streak = streaks.get(key);
    if (streak == null) {
      return false;
    }
    if (key.isRequest()) {
      return isRequestConvicted(key, streak);
    }
    return streak.lastSuccessMs == NEVER
        ? streak.sightings.size() >= CRASHES || serialCrashes(streak.sightings) >= SERIAL_CRASHES
        : serialCrashes(streak.sightings.stream().filter(s -> !isExplained(s)).toList())
            >= SERIAL_CRASHES_AFTER_SUCCESS;
  }

  private boolean isRequestConvicted(Fingerprint key, Streak streak) {
    List<Sighting> sightings = streak.sightings;
    if (sightings.size() < REQUEST_CRASHES) {
      return false;
    }
    if (streak.lastSuccessMs != NEVER) {
      List<Sighting> unexplained = sightings.stream().filter(s -> !isExplained(s)).toList();
      return serialCrashes(unexplained) >= REQUEST_CRASHES;
    }
    List<List<Sighting>> others =
        sightings.stream()
            .flatMap(s -> explaining.getOrDefault(s.endpoint(), Set.of()).stream())
            .distinct()
            .filter(k -> !k.equals(key))
            .map(k -> convicted.getOrDefault(k, List.of()))
            .filter(crashes -> isIndependent(crashes, sightings))
            .toList();
    long unexplained =
        sightings.stream().filter(s -> others.stream().noneMatch(s::isAmong)).count();
    return unexplained >= REQUEST_CRASHES || sightings.size() >= CRASHES;
  }

  /**
   * Returns whether crashes led to a conviction before these others could, and would have done so
   * without the request that the others are held against.
   */
  private static boolean isIndependent(List<Sighting> crashes, List<Sighting> others) {
    return crashes.size() >= REQUEST_CRASHES
        && crashes.get(REQUEST_CRASHES - 1).crashedMs() + DISTINCT_MS
            < others.get(REQUEST_CRASHES - 1).crashedMs()
        && !crashes.stream().allMatch(crash -> crash.isAmong(others));
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
  long firstCrashMs(Fingerprint key) {
    Streak streak = streaks.get(key);
    return streak == null || streak.sightings.isEmpty()
        ? Long.MAX_VALUE
        : streak.sightings.get(0).crashedMs();
  }

  /** Returns the number of endpoints that crashed under the fingerprint since its last success. */
  int crashCount(Fingerprint key) {
    Streak streak = streaks.get(key);
    return streak == null ? 0 : streak.sightings.size();
  }

  /** Returns the crashes that a convicted fingerprint explains. */
  List<Crash> explainedCrashes(Fingerprint key) {
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

    private boolean isAmong(List<Sighting> others) {
      return others.stream().anyMatch(this::isSameCrash);
    }

    private Sighting merge(Sighting other) {
      return new Sighting(
          endpoint, Math.min(crashedMs, other.crashedMs), Math.max(sentMs, other.sentMs));
    }
  }

  /** Crashes under one fingerprint since its last success, in order of time. */
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
