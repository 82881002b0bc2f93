package org.currantslip.core.allowance;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.currantslip.schema.EndpointRecord;

/**
 * Restrictions that endpoints have asked for in their responses.
 *
 * <p>What an endpoint says of itself overrides an older entry of the store. It holds until the
 * endpoint starts anew, also if its entry vanishes and comes back in between.
 */
final class SendRestrictions {
  /** Limits an unreasonable value. */
  private static final long MAX_RETRY_AFTER_MS = 3_600_000;

  /** Exceeds the time for which entries vanish during an outage of the store. */
  private static final long RETENTION_MS = 120_000;

  private final Map<String, Restriction> restrictions = new HashMap<>();

  private SendRestrictions() {}

  /** Creates an instance without restrictions. */
  static SendRestrictions create() {
    return new SendRestrictions();
  }

  /** Returns whether the endpoint accepts requests at this time. */
  boolean permits(EndpointRecord endpoint, long nowMs) {
    Restriction restriction = restrictions.get(endpoint.getId());
    return restriction == null
        || restriction.startedMs != endpoint.getStartedMs()
        || (!restriction.leaving && nowMs >= restriction.untilMs);
  }

  /** Applies a notice; a shorter time does not replace a longer one. */
  EndpointNotice.Effect add(EndpointRecord endpoint, EndpointNotice notice, long nowMs) {
    Restriction known = restrictions.get(endpoint.getId());
    if (known != null && known.startedMs > endpoint.getStartedMs()) {
      return EndpointNotice.Effect.NONE;
    }
    boolean sameInstance = known != null && known.startedMs == endpoint.getStartedMs();
    Restriction before =
        sameInstance && known != null
            ? known
            : new Restriction(endpoint.getStartedMs(), false, nowMs, nowMs);
    boolean timeReadable = notice.retryAfterS() >= 0;
    double retryAfterMs = timeReadable ? 1_000 * notice.retryAfterS() : 0;
    long askedUntilMs = nowMs + (long) Math.min(MAX_RETRY_AFTER_MS, retryAfterMs);
    boolean isLonger = askedUntilMs > Math.max(nowMs, before.untilMs);
    boolean isNewlyLeaving = notice.leaving() && !before.leaving;
    if (!isLonger && !isNewlyLeaving) {
      return timeReadable ? EndpointNotice.Effect.NONE : EndpointNotice.Effect.UNREADABLE;
    }
    restrictions.put(
        endpoint.getId(),
        new Restriction(
            endpoint.getStartedMs(),
            before.leaving || notice.leaving(),
            Math.max(before.untilMs, askedUntilMs),
            nowMs));
    return EndpointNotice.Effect.RESTRICTED;
  }

  /** Removes old restrictions of endpoints that are not among these. */
  void retain(Set<String> endpointIds, long nowMs) {
    restrictions
        .entrySet()
        .removeIf(
            e ->
                !endpointIds.contains(e.getKey())
                    && nowMs - Math.max(e.getValue().untilMs, e.getValue().changedMs)
                        > RETENTION_MS);
  }

  private record Restriction(long startedMs, boolean leaving, long untilMs, long changedMs) {}
}
