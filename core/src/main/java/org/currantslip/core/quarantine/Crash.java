package org.currantslip.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Crash of an endpoint, as one node noticed it.
 *
 * @param crashedMs time at which the node noticed it
 * @param suspects fingerprints of the requests in flight there, and of the parts of those that had
 *     not begun to be answered, with the time at which the last such request was sent
 */
record Crash(EndpointInstance endpoint, long crashedMs, Map<Fingerprint, Long> suspects) {
  /** Returns a copy with these suspects only. */
  Crash keep(Collection<Fingerprint> keys) {
    Map<Fingerprint, Long> kept = new LinkedHashMap<>();
    keys.forEach(key -> kept.put(key, sentMs(key)));
    return new Crash(endpoint, crashedMs, kept);
  }

  /** Returns the time at which the last request with a suspected fingerprint was sent. */
  long sentMs(Fingerprint key) {
    return suspects.getOrDefault(key, crashedMs);
  }
}
