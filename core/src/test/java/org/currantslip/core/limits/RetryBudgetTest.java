package org.currantslip.core.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
  private static final RetryBudget.Bound BOUND = new RetryBudget.Bound(0.5, 60, 10_000);

  private final ManualClock clock = ManualClock.startingAt(1_000_000);

  private long spend(RetryBudget budget, int attempts) {
    return IntStream.range(0, attempts).filter(i -> budget.trySpend("s")).count();
  }

  @Test
  void allNodesCombinedStayWithinBound() {
    int nodes = 6;
    long retries =
        IntStream.range(0, nodes)
            .mapToLong(
                n -> {
                  RetryBudget budget = RetryBudget.create(clock, BOUND, () -> nodes);
                  IntStream.range(0, 100).forEach(i -> budget.recordRequest("s"));
                  return spend(budget, 1_000);
                })
            .sum();
    assertThat(retries).isAtMost((long) (0.5 * 600 + 60));
    assertThat(retries).isAtLeast(200);
  }

  @Test
  void partitionedNodeDoesNotSpendShareOfItsPeers() {
    int[] liveNodes = {6};
    RetryBudget budget = RetryBudget.create(clock, BOUND, () -> liveNodes[0]);
    assertThat(spend(budget, 100)).isEqualTo(7);
    liveNodes[0] = 1;
    assertThat(spend(budget, 100)).isEqualTo(0);
  }

  @Test
  void spentRetriesExpireWithWindow() {
    RetryBudget budget = RetryBudget.create(clock, BOUND, () -> 1);
    assertThat(spend(budget, 100)).isEqualTo(42);
    clock.advance(10_000);
    assertThat(spend(budget, 100)).isEqualTo(42);
  }

  @Test
  void servicesHaveSeparateBudgets() {
    RetryBudget budget = RetryBudget.create(clock, BOUND, () -> 1);
    spend(budget, 100);
    assertThat(budget.trySpend("other")).isTrue();
  }
}
