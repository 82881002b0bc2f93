package org.currantslip.core.allowance;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.currantslip.core.common.LogEvent;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.EndpointRestriction;
import org.currantslip.schema.RestrictionReport;
import org.jspecify.annotations.Nullable;

/**
 * Endpoints that leave or want no requests, as other nodes say.
 *
 * <p>What another node says is kept apart from what endpoints said to this node, and holds for a
 * bounded time only.
 */
final class PeerRestrictions {
  /** The entry of an endpoint that leaves says so, or is gone, within this time. */
  private static final long MAX_HOLD_MS = 10_000;

  /** Older word was held up on its way. */
  private static final long MAX_AGE_MS = 5_000;

  private final BiConsumer<LogEvent, String> log;
  private final Map<String, Restriction> restrictions = new HashMap<>();

  private PeerRestrictions(BiConsumer<LogEvent, String> log) {
    this.log = log;
  }

  static PeerRestrictions create(BiConsumer<LogEvent, String> log) {
    return new PeerRestrictions(log);
  }

  private record Restriction(long startedMs, boolean leaving, long untilMs) {}

  /** Applies what another node says; a shorter time does not replace a longer one. */
  void onReport(String node, RestrictionReport report, long nowMs) {
    for (EndpointRestriction said : report.getRestrictionList()) {
      if (said.getAgeMs() <= MAX_AGE_MS) {
        apply(node, said, nowMs);
      }
    }
  }

  private void apply(String node, EndpointRestriction said, long nowMs) {
    long waitMs = Math.min(MAX_HOLD_MS, Integer.toUnsignedLong(said.getWaitMs()));
    long untilMs = nowMs + (said.getLeaving() ? MAX_HOLD_MS - said.getAgeMs() : waitMs);
    Restriction known = restrictions.get(said.getEndpoint());
    boolean isOlder =
        known != null
            && (known.startedMs > said.getStartedMs()
                || (known.startedMs == said.getStartedMs() && known.untilMs >= untilMs));
    if (isOlder || untilMs <= nowMs) {
      return;
    }
    restrictions.put(
        said.getEndpoint(), new Restriction(said.getStartedMs(), said.getLeaving(), untilMs));
    log.accept(
        LogEvent.PEER_RESTRICTION,
        "endpoint=%s node=%s leaving=%s wait_ms=%d"
            .formatted(said.getEndpoint(), node, said.getLeaving(), untilMs - nowMs));
  }

  private @Nullable Restriction restrictionOf(String endpointId, long startedMs, long nowMs) {
    Restriction known = restrictions.get(endpointId);
    return known != null && known.startedMs == startedMs && nowMs < known.untilMs ? known : null;
  }

  /** Returns the time until the endpoint accepts requests, zero if it accepts them now. */
  long permittedInMs(EndpointRecord endpoint, long nowMs) {
    Restriction known = restrictionOf(endpoint.getId(), endpoint.getStartedMs(), nowMs);
    return known == null ? 0 : known.untilMs - nowMs;
  }

  /** Returns whether peers know as much already as this restriction tells. */
  boolean covers(EndpointRestriction restriction, long nowMs) {
    Restriction known = restrictionOf(restriction.getEndpoint(), restriction.getStartedMs(), nowMs);
    return known != null
        && (restriction.getLeaving()
            ? known.leaving
            : known.untilMs - nowMs >= restriction.getWaitMs() / 2);
  }

  void removeLapsed(long nowMs) {
    restrictions.values().removeIf(r -> r.untilMs <= nowMs);
  }
}
