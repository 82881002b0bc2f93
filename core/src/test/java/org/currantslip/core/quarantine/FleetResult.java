package org.currantslip.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What was measured in a run of {@link QuarantineFleet}.
 *
 * @param badParts the parts that crash endpoints
 * @param sound requests without such a part
 * @param unrelatedCrashes crashes for other reasons
 * @param falseVerdicts other parts on which there was a verdict
 * @param standingFalseVerdicts those of them that are quarantined on some node at the end
 */
record FleetResult(
    List<BadPart> badParts,
    List<SoundRequest> sound,
    int unrelatedCrashes,
    Set<String> falseVerdicts,
    Set<String> standingFalseVerdicts) {
  private static final int COUNTED_CRASHES = 5;
  private static final int MIN_REQUESTS = 20;

  /**
   * A part that crashes endpoints.
   *
   * @param crashMs times of its crashes
   * @param sentMs times at which requests with it were sent to a running endpoint
   */
  record BadPart(String id, List<Long> crashMs, List<Long> sentMs) {
    static BadPart of(String id) {
      return new BadPart(id, new ArrayList<>(), new ArrayList<>());
    }

    boolean hasFifthCrash() {
      return crashMs.size() >= COUNTED_CRASHES;
    }

    /** Returns the number of requests sent later than this after the fifth crash. */
    long sentAfterFifthCrash(long afterMs) {
      return hasFifthCrash()
          ? sentMs.stream().filter(t -> t > crashMs.get(COUNTED_CRASHES - 1) + afterMs).count()
          : 0;
    }

    /** Returns the time of the fifth crash, or else of the last one; or never if there is none. */
    private long fifthOrLastCrashMs() {
      return crashMs.stream()
          .limit(COUNTED_CRASHES)
          .reduce((first, second) -> second)
          .orElse(Long.MAX_VALUE / 2);
    }
  }

  /** First sending of a request without a bad part. */
  record SoundRequest(long atMs, List<String> sharedParts, boolean refused) {}

  /**
   * Returns the share of refused sound requests by their route and account parts, from this time
   * after the fifth or else the last crash under a bad part.
   */
  Map<String, Double> refusedShares(BadPart badPart, long afterMs) {
    long fromMs = badPart.fifthOrLastCrashMs() + afterMs;
    Map<String, List<SoundRequest>> requestsByPart = new TreeMap<>();
    sound.stream()
        .filter(request -> request.atMs() >= fromMs)
        .forEach(
            request ->
                request.sharedParts().stream()
                    .limit(2)
                    .forEach(
                        part ->
                            requestsByPart
                                .computeIfAbsent(part, p -> new ArrayList<>())
                                .add(request)));
    requestsByPart.values().removeIf(requests -> requests.size() < MIN_REQUESTS);
    Map<String, Double> shares = new TreeMap<>();
    requestsByPart.forEach((part, requests) -> shares.put(part, refusedShare(requests)));
    return shares;
  }

  private static double refusedShare(List<SoundRequest> requests) {
    return requests.stream().filter(SoundRequest::refused).count() / (double) requests.size();
  }
}
