package org.currantslip.core.allowance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.currantslip.schema.EndpointLimits;
import org.currantslip.schema.EndpointRecord;

/**
 * Decides whether this node may send to an endpoint now, by all bounds that hold for all nodes
 * together.
 */
public final class EndpointAllowances {
  private final SendRestrictions restrictions = SendRestrictions.create();
  private final RequestLimits limits;

  private EndpointAllowances(SenderShares shares) {
    limits = RequestLimits.create(shares);
  }

  /** Creates allowances of a node that has these shares of the rates that endpoints name. */
  public static EndpointAllowances create(SenderShares shares) {
    return new EndpointAllowances(shares);
  }

  /** Replaces the known endpoints. */
  public void onEndpoints(List<EndpointRecord> endpoints, long nowMs) {
    Set<String> ids = endpoints.stream().map(EndpointRecord::getId).collect(Collectors.toSet());
    restrictions.retain(ids, nowMs);
  }

  /** Returns whether this node may send one more request to the endpoint now. */
  public boolean permits(EndpointRecord endpoint, long nowMs) {
    return restrictions.permits(endpoint, nowMs) && limits.permits(endpoint, nowMs);
  }

  /** Returns whether some nodes must leave the endpoint to others. */
  public boolean isLeftToFew(EndpointRecord endpoint) {
    return limits.isLeftToFew(endpoint);
  }

  /** Counts a request that is sent to the endpoint. */
  public void onSent(EndpointRecord endpoint, long nowMs) {
    limits.onSent(endpoint, nowMs);
  }

  /** Applies what an endpoint said of itself in the response to a request sent at a time. */
  public EndpointNotice.Effect onNotice(
      EndpointRecord endpoint, EndpointNotice notice, long sentMs, long nowMs) {
    EndpointNotice.Effect restricted = restrictions.add(endpoint, notice, nowMs);
    EndpointNotice.Effect limited = limits.add(endpoint, notice.limit(), sentMs, nowMs);
    return restricted == EndpointNotice.Effect.NONE ? limited : restricted;
  }

  /** Returns the named rates that other nodes must learn of, if there are any. */
  public Optional<EndpointLimits> limitReport(long nowMs) {
    return limits.report(nowMs);
  }

  /** Applies named rates that another node has learned of. */
  public void onLimitReport(EndpointLimits report, long nowMs) {
    limits.onReport(report, nowMs);
  }
}
