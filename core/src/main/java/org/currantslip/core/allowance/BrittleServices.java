package org.currantslip.core.allowance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.currantslip.schema.BrittleService;
import org.jspecify.annotations.Nullable;

/**
 * Services whose endpoints bear few refusals for lack of room, by responses and peers.
 *
 * <p>Of two statements, the one in the response to the later request counts.
 */
final class BrittleServices {
  private static final long REPORT_INTERVAL_MS = 500;

  /** A service that nobody sends to for so long is sent to again as if it were not brittle. */
  private static final long RETENTION_MS = 70_000;

  private final Map<String, Statement> statements = new HashMap<>();
  private long nextReportMs;

  private BrittleServices() {}

  static BrittleServices create() {
    return new BrittleServices();
  }

  /** What the endpoints of a service said last. */
  private static final class Statement {
    private boolean brittle;
    private double perS;
    private long sentMs = Long.MIN_VALUE;
    private long heardMs;
    private boolean changed;

    private boolean set(boolean isBrittle, double newPerS, long newSentMs, long nowMs) {
      final boolean changes = isBrittle != brittle || newPerS != perS;
      brittle = isBrittle;
      perS = newPerS;
      sentMs = newSentMs;
      heardMs = nowMs;
      return changes;
    }
  }

  boolean isBrittle(String service) {
    Statement statement = statements.get(service);
    return statement != null && statement.brittle;
  }

  /** Returns the services that are brittle now. */
  Set<String> all() {
    return statements.entrySet().stream()
        .filter(e -> e.getValue().brittle)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Applies what a response says, unless the response to a later request was applied before. */
  EndpointNotice.Effect add(String service, EndpointNotice notice, long sentMs, long nowMs) {
    if (notice.limit().kind() == RequestLimit.Kind.UNSAID) {
      return EndpointNotice.Effect.NONE;
    }
    OptionalDouble perS = notice.brittlePerS();
    if (perS.isPresent() && !(perS.getAsDouble() >= 0 && Double.isFinite(perS.getAsDouble()))) {
      return EndpointNotice.Effect.UNREADABLE;
    }
    Statement statement = statementFor(service, perS.isPresent(), sentMs);
    if (statement == null || !statement.set(perS.isPresent(), perS.orElse(0), sentMs, nowMs)) {
      return EndpointNotice.Effect.NONE;
    }
    statement.changed = true;
    return perS.isPresent() ? EndpointNotice.Effect.RESTRICTED : EndpointNotice.Effect.RELAXED;
  }

  /** Returns the statement to change, or null if the new one changes nothing. */
  private @Nullable Statement statementFor(String service, boolean brittle, long sentMs) {
    Statement known = statements.get(service);
    if (known == null && brittle) {
      known = new Statement();
      statements.put(service, known);
    }
    return known == null || sentMs < known.sentMs ? null : known;
  }

  /** Returns the statements that the other nodes must learn of now, and forgets old ones. */
  List<BrittleService> report(long nowMs) {
    if (nowMs < nextReportMs) {
      return List.of();
    }
    nextReportMs = nowMs + REPORT_INTERVAL_MS;
    statements.values().removeIf(s -> nowMs - s.heardMs > RETENTION_MS);
    return statements.entrySet().stream()
        .filter(e -> e.getValue().changed)
        .map(e -> toProto(e.getKey(), e.getValue(), nowMs))
        .toList();
  }

  private static BrittleService toProto(String service, Statement statement, long nowMs) {
    statement.changed = false;
    return BrittleService.newBuilder()
        .setService(service)
        .setBrittle(statement.brittle)
        .setPerS(statement.perS)
        .setAgeMs(Math.max(0, nowMs - statement.sentMs))
        .build();
  }

  /** Applies what another node has learned; returns whether it changes anything. */
  boolean onReport(BrittleService report, long nowMs) {
    long sentMs = nowMs - report.getAgeMs();
    Statement statement = statementFor(report.getService(), report.getBrittle(), sentMs);
    return statement != null && statement.set(report.getBrittle(), report.getPerS(), sentMs, nowMs);
  }
}
