package org.currantslip.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.currantslip.core.rules.Rule;
import org.currantslip.schema.AccountDemand;

/** Limits, demand and waiting requests of one client account at this node. */
final class AccountState {
  private static final int PRIORITIES = 10;
  private static final double DEMAND_HALF_TIME_MS = 500;
  private static final long DEMAND_VALID_MS = 2000;
  private static final double EVEN_PART = 0.5;
  private static final double MAX_RETRY_CREDIT = 100;
  private static final double FIRST_RETRY_CREDIT = 10;

  private record PeerDemand(double requestsPerS, long atMs) {}

  private final String name;
  private final TokenBucket requests = new TokenBucket(0, 0, 0);
  private final TokenBucket tokens = new TokenBucket(0, 0, 0);
  private final List<Queue<Waiting>> queues = new ArrayList<>();
  private final Map<String, PeerDemand> peers = new HashMap<>();
  private boolean limited;
  private double requestRate;
  private double tokenRate;
  private long rateAtMs;
  private double retryCredit = FIRST_RETRY_CREDIT;
  private long admittedSinceRetry;

  AccountState(String name) {
    this.name = name;
    for (int p = 0; p < PRIORITIES; p++) {
      queues.add(new ArrayDeque<>());
    }
  }

  TokenBucket requests() {
    return requests;
  }

  TokenBucket tokens() {
    return tokens;
  }

  Queue<Waiting> queue(int priority) {
    return queues.get(priority);
  }

  /** Counts a request that asks to start, admitted or not. */
  void offered(long nowMs, long expectedTokens) {
    decay(nowMs);
    double perRequest = Math.log(2) * 1000 / DEMAND_HALF_TIME_MS;
    requestRate += perRequest;
    tokenRate += perRequest * expectedTokens;
  }

  private void decay(long nowMs) {
    double factor = Math.pow(0.5, Math.max(0, nowMs - rateAtMs) / DEMAND_HALF_TIME_MS);
    requestRate *= factor;
    tokenRate *= factor;
    rateAtMs = Math.max(rateAtMs, nowMs);
  }

  void onDemand(String node, double requestsPerS, long nowMs) {
    peers.put(node, new PeerDemand(requestsPerS, nowMs));
  }

  AccountDemand demand(long nowMs) {
    decay(nowMs);
    return AccountDemand.newBuilder()
        .setAccount(name)
        .setRequestsPerS(requestRate)
        .setTokensPerS(tokenRate)
        .build();
  }

  /** Returns this node's part of the account's limit. */
  double share(int liveNodes, long nowMs) {
    decay(nowMs);
    peers.values().removeIf(p -> nowMs - p.atMs() > DEMAND_VALID_MS);
    int nodes = Math.max(1, Math.max(liveNodes, peers.size() + 1));
    double even = 1.0 / nodes;
    if (peers.size() < nodes - 1) {
      return even;
    }
    double all = requestRate + peers.values().stream().mapToDouble(PeerDemand::requestsPerS).sum();
    double byDemand = all <= 0 ? even : requestRate / all;
    return EVEN_PART * even + (1 - EVEN_PART) * byDemand;
  }

  void setLimit(Rule.Limit limit, double share, long nowMs) {
    double requestRate = limit.requestsPerS() * share;
    double tokenRate = limit.tokensPerS() * share;
    requests.set(requestRate, Math.max(1, requestRate * limit.burstS()), nowMs);
    tokens.set(tokenRate, Math.max(1, tokenRate * limit.burstS()), nowMs);
    if (!limited) {
      requests.fillUp(nowMs);
      tokens.fillUp(nowMs);
      limited = true;
    }
  }

  /** Sets right what was taken by estimate. */
  void correct(long tokenDifference, long nowMs) {
    if (limited) {
      tokens.take(tokenDifference, nowMs);
    }
  }

  void admitted() {
    admittedSinceRetry++;
  }

  boolean tryRetry(double retryShare) {
    retryCredit = Math.min(MAX_RETRY_CREDIT, retryCredit + retryShare * admittedSinceRetry);
    admittedSinceRetry = 0;
    if (retryCredit < 1) {
      return false;
    }
    retryCredit--;
    return true;
  }
}
