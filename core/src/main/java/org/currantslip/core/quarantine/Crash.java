package org.currantslip.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Crash of an endpoint, as one node noticed it.
 *
 * @param crashedMs time at which the node noticed it
 * @param suspects parts of the requests in flight there that had not begun to be answered, with the
 *     time at which the last such request was sent
 */
record Crash(EndpointInstance endpoint, long crashedMs, Map<PartKey, Long> suspects) {
  /** Returns a copy with these suspects only. */
  Crash keep(Collection<PartKey> parts) {
    Map<PartKey, Long> kept = new LinkedHashMap<>();
    parts.forEach(part -> kept.put(part, sentMs(part)));
    return new Crash(endpoint, crashedMs, kept);
  }

  /** Returns the time at which the last request with a suspected part was sent. */
  long sentMs(PartKey part) {
    return suspects.getOrDefault(part, crashedMs);
  }
}
