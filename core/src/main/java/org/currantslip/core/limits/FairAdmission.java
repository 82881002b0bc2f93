package org.currantslip.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.rules.Rule;
import org.currantslip.schema.AccountDemand;
import org.currantslip.schema.DemandReport;
import org.currantslip.schema.NodeId;

/**
 * Admits requests within account limits; queues the rest by priority, with round-robin between
 * accounts.
 */
public final class FairAdmission implements AdmissionControl {
  private static final int PRIORITIES = 10;
  private static final double RETRY_JITTER = 0.5;
  private static final double INITIAL_SERVICE_MS = 500;
  private static final double SERVICE_TIME_SMOOTHING = 0.05;
  private static final long MAX_RETRY_AFTER_MS = 60_000;

  private final NodeId self;
  private final Membership membership;
  private final Clock clock;
  private final AdmissionOptions options;
  private final SplittableRandom random;
  private final Map<String, AccountState> accounts = new HashMap<>();
  private final List<Queue<AccountState>> roundRobinByPriority = new ArrayList<>();
  private int inFlight;
  private int queued;
  private double serviceMs = INITIAL_SERVICE_MS;

  private FairAdmission(
      NodeId self, Membership membership, Clock clock, AdmissionOptions options, long seed) {
    this.self = self;
    this.membership = membership;
    this.clock = clock;
    this.options = options;
    random = new SplittableRandom(seed);
    for (int p = 0; p < PRIORITIES; p++) {
      roundRobinByPriority.add(new ArrayDeque<>());
    }
  }

  /** Creates an admission control without recorded demand. */
  public static FairAdmission create(
      NodeId self, Membership membership, Clock clock, AdmissionOptions options, long seed) {
    return new FairAdmission(self, membership, clock, options, seed);
  }

  @Override
  public CompletableFuture<Permit> admit(ConfigView config, AdmissionQuery query) {
    long now = clock.nowMs();
    AccountState account = accounts.computeIfAbsent(query.account(), AccountState::new);
    account.onOffered(now, query.expectedTokens());
    if (query.deadlineMs() <= now) {
      return refuse(ResultCode.DEADLINE_PASSED, 0, "deadline passed before arrival");
    }
    Rule.Limit limit = config.rules().limit(query.account()).orElse(null);
    if (limit != null) {
      account.setLimit(limit, account.share(membership.live().size(), now), now);
      if (!account.requestBucket().canTake(1, now)) {
        return refuse(
            ResultCode.RATE_LIMITED,
            account.requestBucket().waitMs(1, now),
            "request rate limit exceeded");
      }
      if (!account.tokenBucket().canTake(query.expectedTokens(), now)) {
        long retryAfterMs = account.tokenBucket().waitMs(query.expectedTokens(), now);
        return refuse(ResultCode.TOKEN_LIMITED, retryAfterMs, "token rate limit exceeded");
      }
    }
    long expectedWaitMs = expectedWaitMs();
    if (now + expectedWaitMs > query.deadlineMs()) {
      return refuse(
          ResultCode.DEADLINE_UNREACHABLE, expectedWaitMs, "deadline is before the expected start");
    }
    if (inFlight >= options.maxInFlight() && queued >= options.maxQueued()) {
      return refuse(ResultCode.OVERLOADED, expectedWaitMs, "admission queue is full");
    }
    if (limit != null) {
      account.requestBucket().take(1, now);
      account.tokenBucket().take(query.expectedTokens(), now);
    }
    account.onAdmitted();
    return enqueue(account, query);
  }

  private CompletableFuture<Permit> enqueue(AccountState account, AdmissionQuery query) {
    int priority = Math.max(0, Math.min(query.priority(), PRIORITIES - 1));
    CompletableFuture<Permit> future = new CompletableFuture<>();
    if (account.queue(priority).isEmpty()) {
      roundRobinByPriority.get(priority).add(account);
    }
    account.queue(priority).add(new QueuedRequest(query, future));
    queued++;
    startNext();
    return future;
  }

  private long expectedWaitMs() {
    if (inFlight < options.maxInFlight()) {
      return 0;
    }
    return (long) Math.ceil(serviceMs * (queued + 1) / options.maxInFlight());
  }

  private <T> CompletableFuture<T> refuse(ResultCode code, long waitMs, String detail) {
    if (waitMs == 0 && code == ResultCode.DEADLINE_PASSED) {
      return CompletableFuture.failedFuture(RefusalException.notRun(code, detail));
    }
    long retryAfterMs = Math.max(1, Math.min(waitMs, MAX_RETRY_AFTER_MS));
    long jitterMs = (long) (random.nextDouble() * RETRY_JITTER * retryAfterMs);
    return CompletableFuture.failedFuture(
        RefusalException.notRunRetryable(code, retryAfterMs + jitterMs, detail));
  }

  private void startNext() {
    while (inFlight < options.maxInFlight() && queued > 0) {
      startOne();
    }
  }

  private void startOne() {
    for (int p = PRIORITIES - 1; p >= 0; p--) {
      AccountState account = roundRobinByPriority.get(p).poll();
      if (account == null) {
        continue;
      }
      QueuedRequest next = account.queue(p).remove();
      queued--;
      if (!account.queue(p).isEmpty()) {
        roundRobinByPriority.get(p).add(account);
      }
      if (next.query().deadlineMs() <= clock.nowMs()) {
        next.future()
            .completeExceptionally(
                RefusalException.notRunRetryable(
                    ResultCode.DEADLINE_UNREACHABLE,
                    expectedWaitMs() + 1,
                    "deadline passed in the admission queue"));
        return;
      }
      inFlight++;
      next.future().complete(permit(account, next.query()));
      return;
    }
  }

  private Permit permit(AccountState account, AdmissionQuery query) {
    long startMs = clock.nowMs();
    return new Permit() {
      private boolean released;

      @Override
      public void release(long usedTokens) {
        if (released) {
          return;
        }
        released = true;
        inFlight--;
        long now = clock.nowMs();
        serviceMs += SERVICE_TIME_SMOOTHING * (now - startMs - serviceMs);
        account.correctTokenUsage(usedTokens - query.expectedTokens(), now);
        startNext();
      }
    };
  }

  @Override
  public boolean tryRetry(String account) {
    return accounts.computeIfAbsent(account, AccountState::new).tryRetry(options.retryRatio());
  }

  @Override
  public void onPeerDemand(DemandReport report) {
    if (report.getNode().getName().equals(self.getName())) {
      return;
    }
    for (AccountDemand d : report.getDemandList()) {
      accounts
          .computeIfAbsent(d.getAccount(), AccountState::new)
          .onDemand(report.getNode().getName(), d.getRequestsPerS(), clock.nowMs());
    }
  }

  @Override
  public DemandReport localDemand() {
    long now = clock.nowMs();
    DemandReport.Builder report = DemandReport.newBuilder().setNode(self);
    accounts.values().forEach(a -> report.addDemand(a.demand(now)));
    return report.build();
  }

  @Override
  public void tick() {
    startNext();
  }
}
