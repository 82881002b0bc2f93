package org.currantslip.core.allowance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.EndpointRestriction;

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
  private final Set<String> untold = new HashSet<>();

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
    untold.add(endpoint.getId());
    restrictions.put(
        endpoint.getId(),
        new Restriction(
            endpoint.getStartedMs(),
            before.leaving || notice.leaving(),
            Math.max(before.untilMs, askedUntilMs),
            nowMs));
    return EndpointNotice.Effect.RESTRICTED;
  }

  /** Returns the time until the endpoint accepts requests, zero if it accepts them now. */
  long permittedInMs(EndpointRecord endpoint, long nowMs) {
    Restriction restriction = restrictions.get(endpoint.getId());
    if (restriction == null || permits(endpoint, nowMs)) {
      return 0;
    }
    return restriction.leaving ? Long.MAX_VALUE : restriction.untilMs - nowMs;
  }

  /** Returns the restrictions that were added or prolonged since the last call. */
  List<EndpointRestriction> takeNew(long nowMs) {
    List<EndpointRestriction> added =
        untold.stream()
            .flatMap(id -> Stream.ofNullable(restrictions.get(id)).map(r -> toProto(id, r, nowMs)))
            .toList();
    untold.clear();
    return added;
  }

  private static EndpointRestriction toProto(String id, Restriction restriction, long nowMs) {
    return EndpointRestriction.newBuilder()
        .setEndpoint(id)
        .setStartedMs(restriction.startedMs)
        .setLeaving(restriction.leaving)
        .setWaitMs((int) Math.max(0, restriction.untilMs - nowMs))
        .setAgeMs(Math.max(0, nowMs - restriction.changedMs))
        .build();
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
