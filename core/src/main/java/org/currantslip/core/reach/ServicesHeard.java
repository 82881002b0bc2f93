package org.currantslip.core.reach;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.schema.ServiceHeard;

/** When this node last heard an endpoint of each service. */
final class ServicesHeard {
  /** Older times are of no use to peers. */
  private static final long MAX_AGE_MS = 2_000;

  private static final int MAX_REPORTED = 16;

  /** Time of one service; changes with each piece of data without an allocation. */
  static final class Time {
    private long atMs = Long.MIN_VALUE / 2;

    void set(long nowMs) {
      atMs = nowMs;
    }
  }

  private final Map<String, Time> times = new HashMap<>();

  private ServicesHeard() {}

  static ServicesHeard create() {
    return new ServicesHeard();
  }

  Time time(String service) {
    return times.computeIfAbsent(service, s -> new Time());
  }

  List<ServiceHeard> report(long nowMs) {
    return times.entrySet().stream()
        .filter(e -> nowMs - e.getValue().atMs <= MAX_AGE_MS)
        .limit(MAX_REPORTED)
        .map(
            e ->
                ServiceHeard.newBuilder()
                    .setService(e.getKey())
                    .setHeardMsAgo(nowMs - e.getValue().atMs)
                    .build())
        .toList();
  }
}
