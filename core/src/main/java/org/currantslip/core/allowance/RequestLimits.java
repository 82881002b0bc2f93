package org.currantslip.core.allowance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.currantslip.schema.EndpointLimit;
import org.currantslip.schema.EndpointLimits;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * Request limits that endpoints have named, and this node's part of them as token buckets.
 *
 * <p>Of two statements, the one in the response to the later request counts. The nodes that may
 * send to an endpoint tell all others when its limit changes, since these cannot see that it ends.
 */
final class RequestLimits {
  /** Leaves room for nodes that take each other's place as senders. */
  private static final double USED_FRACTION = 0.95;

  /**
   * Requests saved while none was sent. Each sender has at least one request a second, so that the
   * saved ones of all are at most two seconds' worth of the limit.
   */
  private static final double BUCKET_SIZE = 2;

  /** An endpoint that got no request at all could not name another limit. */
  private static final double MIN_LIMIT_PER_S = 0.2;

  private static final long REPORT_INTERVAL_MS = 500;
  private static final long REPEAT_INTERVAL_MS = 20_000;

  /** A statement that nobody repeats is forgotten; exceeds two lost repetitions. */
  private static final long RETENTION_MS = 70_000;

  private static final double MS_PER_S = 1_000;

  private final SenderShares shares;
  private final Map<String, Statement> statements = new HashMap<>();
  private long nextReportMs;

  private RequestLimits(SenderShares shares) {
    this.shares = shares;
  }

  static RequestLimits create(SenderShares shares) {
    return new RequestLimits(shares);
  }

  /** What an endpoint said last, and the tokens that this node has for it. */
  private static final class Statement {
    private final long startedMs;
    private double perS = Double.POSITIVE_INFINITY;

    /** The last limit, which decides who reports its end. */
    private double lastNamedPerS = Double.POSITIVE_INFINITY;

    private long sentMs = Long.MIN_VALUE;
    private long heardMs;
    private long reportedMs;
    private boolean changed;
    private double tokens;
    private long refilledMs;

    private Statement(long startedMs, long nowMs) {
      this.startedMs = startedMs;
      refilledMs = nowMs;
    }

    private boolean isLimited() {
      return Double.isFinite(perS);
    }

    private EndpointNotice.Effect set(double newPerS, long newSentMs, long nowMs) {
      sentMs = newSentMs;
      heardMs = nowMs;
      double before = perS;
      perS = newPerS;
      lastNamedPerS = isLimited() ? perS : lastNamedPerS;
      if (before == newPerS) {
        return EndpointNotice.Effect.NONE;
      }
      return newPerS < before ? EndpointNotice.Effect.RESTRICTED : EndpointNotice.Effect.RELAXED;
    }
  }

  /** Returns whether this node may send one more request to the endpoint now. */
  boolean permits(EndpointRecord endpoint, long nowMs) {
    Statement statement = statementOf(endpoint);
    if (statement == null || !statement.isLimited()) {
      return true;
    }
    refill(endpoint.getId(), statement, nowMs);
    return statement.tokens >= 1;
  }

  /** Returns the time until this node may send to the endpoint, if nothing else happens. */
  long permittedInMs(EndpointRecord endpoint, long nowMs) {
    Statement statement = statementOf(endpoint);
    if (statement == null || permits(endpoint, nowMs)) {
      return 0;
    }
    double partPerS = USED_FRACTION * shareOf(endpoint.getId(), statement.perS);
    return partPerS <= 0
        ? Long.MAX_VALUE
        : 1 + (long) ((1 - statement.tokens) / partPerS * MS_PER_S);
  }

  /** Returns whether some nodes must leave the endpoint to others. */
  boolean isLeftToFew(EndpointRecord endpoint) {
    Statement statement = statementOf(endpoint);
    return statement != null && statement.isLimited() && shares.isLeftToFew(statement.perS);
  }

  /** Counts a request that is sent to the endpoint. */
  void onSent(EndpointRecord endpoint, long nowMs) {
    Statement statement = statementOf(endpoint);
    if (statement != null && statement.isLimited()) {
      refill(endpoint.getId(), statement, nowMs);
      statement.tokens--;
    }
  }

  private @Nullable Statement statementOf(EndpointRecord endpoint) {
    Statement statement = statements.get(endpoint.getId());
    return statement == null || statement.startedMs != endpoint.getStartedMs() ? null : statement;
  }

  private void refill(String endpointId, Statement statement, long nowMs) {
    double added =
        USED_FRACTION
            * shareOf(endpointId, statement.perS)
            * (nowMs - statement.refilledMs)
            / MS_PER_S;
    statement.tokens = Math.min(BUCKET_SIZE, statement.tokens + added);
    statement.refilledMs = nowMs;
  }

  private double shareOf(String endpointId, double limitPerS) {
    return shares.shareOf(endpointId, Math.max(MIN_LIMIT_PER_S, limitPerS));
  }

  /** Applies what a response says, unless the response to a later request was applied before. */
  EndpointNotice.Effect add(EndpointRecord endpoint, RequestLimit limit, long sentMs, long nowMs) {
    if (limit.kind() == RequestLimit.Kind.UNREADABLE) {
      return EndpointNotice.Effect.UNREADABLE;
    }
    if (limit.kind() == RequestLimit.Kind.UNSAID) {
      return EndpointNotice.Effect.NONE;
    }
    Statement statement =
        statementFor(endpoint.getId(), endpoint.getStartedMs(), limit.perS(), sentMs, nowMs);
    if (statement == null) {
      return EndpointNotice.Effect.NONE;
    }
    EndpointNotice.Effect effect = statement.set(limit.perS(), sentMs, nowMs);
    statement.changed |= effect != EndpointNotice.Effect.NONE;
    return effect;
  }

  /** Returns the statement to change, or null if the new one changes nothing. */
  private @Nullable Statement statementFor(
      String endpointId, long startedMs, double perS, long sentMs, long nowMs) {
    Statement known = statements.get(endpointId);
    if (known != null && known.startedMs == startedMs) {
      return sentMs < known.sentMs ? null : known;
    }
    boolean isOlderInstance = known != null && known.startedMs > startedMs;
    if (isOlderInstance || !Double.isFinite(perS)) {
      return null;
    }
    Statement added = new Statement(startedMs, nowMs);
    statements.put(endpointId, added);
    return added;
  }

  /** Returns the statements that the other nodes must learn of now, and forgets old ones. */
  Optional<EndpointLimits> report(long nowMs) {
    if (nowMs < nextReportMs) {
      return Optional.empty();
    }
    nextReportMs = nowMs + REPORT_INTERVAL_MS;
    statements.values().removeIf(s -> nowMs - s.heardMs > RETENTION_MS);
    List<EndpointLimit> due =
        statements.entrySet().stream()
            .filter(e -> isReportDue(e.getKey(), e.getValue(), nowMs))
            .map(e -> toProto(e.getKey(), e.getValue(), nowMs))
            .toList();
    return due.isEmpty()
        ? Optional.empty()
        : Optional.of(EndpointLimits.newBuilder().addAllLimit(due).build());
  }

  private boolean isReportDue(String endpointId, Statement statement, long nowMs) {
    boolean isDue = statement.changed || nowMs - statement.reportedMs >= REPEAT_INTERVAL_MS;
    return isDue && shareOf(endpointId, statement.lastNamedPerS) > 0;
  }

  private static EndpointLimit toProto(String endpointId, Statement statement, long nowMs) {
    statement.changed = false;
    statement.reportedMs = nowMs;
    return EndpointLimit.newBuilder()
        .setEndpoint(endpointId)
        .setStartedMs(statement.startedMs)
        .setPerS(statement.isLimited() ? statement.perS : 0)
        .setNamed(statement.isLimited())
        .setAgeMs(Math.max(0, nowMs - statement.sentMs))
        .build();
  }

  /** Applies the statements that another node reports. */
  void onReport(EndpointLimits report, long nowMs) {
    for (EndpointLimit limit : report.getLimitList()) {
      double perS = limit.getNamed() ? limit.getPerS() : Double.POSITIVE_INFINITY;
      long sentMs = nowMs - limit.getAgeMs();
      Statement statement =
          statementFor(limit.getEndpoint(), limit.getStartedMs(), perS, sentMs, nowMs);
      if (statement != null) {
        EndpointNotice.Effect unused = statement.set(perS, sentMs, nowMs);
      }
    }
  }
}
