package org.currantslip.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.currantslip.core.rules.Rule;
import org.currantslip.schema.AccountDemand;

/** Rate limits, demand and queued requests of one client account at this node. */
final class AccountState {
  private static final int PRIORITIES = 10;
  private static final double DEMAND_HALF_LIFE_MS = 500;
  private static final long PEER_DEMAND_TTL_MS = 2000;
  private static final double EVEN_SHARE_WEIGHT = 0.5;
  private static final double MAX_RETRY_CREDIT = 100;
  private static final double INITIAL_RETRY_CREDIT = 10;

  private record PeerDemand(double requestsPerS, long receivedMs) {}

  private final String name;
  private final TokenBucket requestBucket = new TokenBucket(0, 0, 0);
  private final TokenBucket tokenBucket = new TokenBucket(0, 0, 0);
  private final List<Queue<QueuedRequest>> queues = new ArrayList<>();
  private final Map<String, PeerDemand> peerDemands = new HashMap<>();
  private boolean limited;
  private double requestRate;
  private double tokenRate;
  private long rateUpdatedMs;
  private double retryCredit = INITIAL_RETRY_CREDIT;
  private long admittedSinceRetryCheck;

  AccountState(String name) {
    this.name = name;
    for (int p = 0; p < PRIORITIES; p++) {
      queues.add(new ArrayDeque<>());
    }
  }

  TokenBucket requestBucket() {
    return requestBucket;
  }

  TokenBucket tokenBucket() {
    return tokenBucket;
  }

  Queue<QueuedRequest> queue(int priority) {
    return queues.get(priority);
  }

  /** Records an arriving request in the demand estimate, whether or not it is admitted. */
  void onOffered(long nowMs, long expectedTokens) {
    decay(nowMs);
    double ratePerRequest = Math.log(2) * 1000 / DEMAND_HALF_LIFE_MS;
    requestRate += ratePerRequest;
    tokenRate += ratePerRequest * expectedTokens;
  }

  private void decay(long nowMs) {
    double factor = Math.pow(0.5, Math.max(0, nowMs - rateUpdatedMs) / DEMAND_HALF_LIFE_MS);
    requestRate *= factor;
    tokenRate *= factor;
    rateUpdatedMs = Math.max(rateUpdatedMs, nowMs);
  }

  void onDemand(String node, double requestsPerS, long nowMs) {
    peerDemands.put(node, new PeerDemand(requestsPerS, nowMs));
  }

  AccountDemand demand(long nowMs) {
    decay(nowMs);
    return AccountDemand.newBuilder()
        .setAccount(name)
        .setRequestsPerS(requestRate)
        .setTokensPerS(tokenRate)
        .build();
  }

  /**
   * Returns this node's share of the account limit: a blend of an even split and its part of the
   * demand.
   */
  double share(int liveNodes, long nowMs) {
    decay(nowMs);
    peerDemands.values().removeIf(p -> nowMs - p.receivedMs() > PEER_DEMAND_TTL_MS);
    int nodes = Math.max(1, Math.max(liveNodes, peerDemands.size() + 1));
    double evenShare = 1.0 / nodes;
    if (peerDemands.size() < nodes - 1) {
      return evenShare;
    }
    double totalRate =
        requestRate + peerDemands.values().stream().mapToDouble(PeerDemand::requestsPerS).sum();
    double demandShare = totalRate <= 0 ? evenShare : requestRate / totalRate;
    return EVEN_SHARE_WEIGHT * evenShare + (1 - EVEN_SHARE_WEIGHT) * demandShare;
  }

  void setLimit(Rule.Limit limit, double share, long nowMs) {
    double requestRate = limit.requestsPerS() * share;
    double tokenRate = limit.tokensPerS() * share;
    requestBucket.setRate(requestRate, Math.max(1, requestRate * limit.burstS()), nowMs);
    tokenBucket.setRate(tokenRate, Math.max(1, tokenRate * limit.burstS()), nowMs);
    if (!limited) {
      requestBucket.fillUp(nowMs);
      tokenBucket.fillUp(nowMs);
      limited = true;
    }
  }

  /** Corrects the token bucket when the actual usage differs from the estimate. */
  void correctTokenUsage(long tokenDifference, long nowMs) {
    if (limited) {
      tokenBucket.take(tokenDifference, nowMs);
    }
  }

  void onAdmitted() {
    admittedSinceRetryCheck++;
  }

  boolean tryRetry(double retryRatio) {
    retryCredit = Math.min(MAX_RETRY_CREDIT, retryCredit + retryRatio * admittedSinceRetryCheck);
    admittedSinceRetryCheck = 0;
    if (retryCredit < 1) {
      return false;
    }
    retryCredit--;
    return true;
  }
}
