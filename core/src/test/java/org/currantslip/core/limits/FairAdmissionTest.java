package org.currantslip.core.limits;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.junit.jupiter.api.Test;

final class FairAdmissionTest {
  private static final ConfigView UNLIMITED = new ConfigView(1, RuleSet.empty());

  private final ManualClock clock = ManualClock.startingAt(100_000);

  private static NodeRecord node(int i) {
    return NodeRecord.newBuilder().setId(NodeId.newBuilder().setName("n" + i)).build();
  }

  private static Membership members(int count) {
    List<NodeRecord> all = IntStream.range(0, count).mapToObj(FairAdmissionTest::node).toList();
    return new Membership() {
      @Override
      public NodeRecord self() {
        return all.get(0);
      }

      @Override
      public List<NodeRecord> live() {
        return all;
      }

      @Override
      public List<NodeRecord> entryNodes() {
        return all;
      }

      @Override
      public Optional<NodeRecord> find(String name) {
        return all.stream().filter(n -> n.getId().getName().equals(name)).findFirst();
      }

      @Override
      public boolean isGone(NodeId id) {
        return false;
      }
    };
  }

  private FairAdmission admission(int nodes, int index, int inFlight, int queued) {
    AdmissionOptions options = new AdmissionOptions(inFlight, queued, 0.1);
    return FairAdmission.create(node(index).getId(), members(nodes), clock, options, 7);
  }

  private static ConfigView limited(double requestsPerS) {
    Rule.Limit limit =
        new Rule.Limit(new Rule.Origin(1, "limit", "operator"), "a", requestsPerS, 1e9, 1);
    return new ConfigView(1, RuleSet.of(List.of(limit)));
  }

  private CompletableFuture<Permit> admit(
      FairAdmission admission, ConfigView config, String account) {
    return admission.admit(config, new AdmissionQuery(account, 5, 10, clock.nowMs() + 60_000));
  }

  private static RefusalException refusal(CompletableFuture<Permit> future) {
    assertThat(future.isDone()).isTrue();
    CompletionException e = assertThrows(CompletionException.class, future::join);
    assertThat(e).hasCauseThat().isInstanceOf(RefusalException.class);
    return (RefusalException) requireNonNull(e.getCause());
  }

  @Test
  void refusalOverRateLimitNamesTimeAtWhichRetrySucceeds() {
    FairAdmission admission = admission(1, 0, 1000, 0);
    ConfigView config = limited(10);
    IntStream.range(0, 10).forEach(i -> admit(admission, config, "a").join().release(10));
    RefusalException e = refusal(admit(admission, config, "a"));
    assertThat(e.code()).isEqualTo(ResultCode.RATE_LIMITED);
    assertThat(e.ran()).isEqualTo(Ran.NO);
    clock.advance(e.retryAfterMs());
    admit(admission, config, "a").join();
  }

  @Test
  void retryTimesAreJittered() {
    FairAdmission admission = admission(1, 0, 1000, 0);
    ConfigView config = limited(1);
    admit(admission, config, "a").join();
    Set<Long> retryAfterTimes = new TreeSet<>();
    for (int i = 0; i < 50; i++) {
      retryAfterTimes.add(refusal(admit(admission, config, "a")).retryAfterMs());
    }
    assertThat(retryAfterTimes.size()).isAtLeast(30);
  }

  @Test
  void splitLimitHoldsAcrossPartitionedNodes() {
    List<FairAdmission> nodes =
        IntStream.range(0, 6).mapToObj(i -> admission(6, i, 10_000, 0)).toList();
    ConfigView config = limited(60);
    int admitted = 0;
    for (int ms = 0; ms < 10_000; ms += 10) {
      clock.advance(10);
      for (FairAdmission node : nodes) {
        CompletableFuture<Permit> future = admit(node, config, "a");
        if (!future.isCompletedExceptionally()) {
          future.join().release(10);
          admitted++;
        }
      }
    }
    double burst = 60;
    assertThat(admitted).isAtMost((int) ((60 * 10 + burst) * 1.05));
  }

  @Test
  void accountsAreServedRoundRobin() {
    FairAdmission admission = admission(1, 0, 1, 100);
    List<String> order = new ArrayList<>();
    Permit first = admit(admission, UNLIMITED, "large").join();
    for (int i = 0; i < 5; i++) {
      var unused =
          admit(admission, UNLIMITED, "large").thenAccept(p -> recordAndRelease(order, "large", p));
    }
    var unused =
        admit(admission, UNLIMITED, "small").thenAccept(p -> recordAndRelease(order, "small", p));
    first.release(10);
    assertThat(order.indexOf("small")).isAtMost(1);
  }

  private static void recordAndRelease(List<String> order, String account, Permit permit) {
    order.add(account);
    permit.release(10);
  }

  @Test
  void refusesUnreachableDeadlineOnArrival() {
    FairAdmission admission = admission(1, 0, 1, 100);
    admit(admission, UNLIMITED, "a").join();
    CompletableFuture<Permit> unreachable =
        admission.admit(UNLIMITED, new AdmissionQuery("a", 5, 10, clock.nowMs() + 100));
    assertThat(refusal(unreachable).code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
  }

  @Test
  void doubleReleaseFreesOneSlot() {
    FairAdmission admission = admission(1, 0, 1, 0);
    Permit permit = admit(admission, UNLIMITED, "a").join();
    permit.release(10);
    permit.release(10);
    admit(admission, UNLIMITED, "a").join();
    assertThat(refusal(admit(admission, UNLIMITED, "a")).code()).isEqualTo(ResultCode.OVERLOADED);
  }

  @Test
  void retriesStayWithinRetryRatio() {
    FairAdmission admission = admission(1, 0, 1000, 0);
    IntStream.range(0, 1000).forEach(i -> admit(admission, UNLIMITED, "a").join().release(10));
    long allowed = IntStream.range(0, 1000).filter(i -> admission.tryRetry("a")).count();
    assertThat(allowed).isAtMost(100);
  }
}
