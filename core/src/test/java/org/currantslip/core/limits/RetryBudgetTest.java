package org.currantslip.core.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.currantslip.core.common.DrivenClock;
import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
  private static final RetryBudget.Bound BOUND = new RetryBudget.Bound(0.5, 60, 10_000);

  private final DrivenClock clock = DrivenClock.startingAt(1_000_000);

  private long spend(RetryBudget budget, int tries) {
    return IntStream.range(0, tries).filter(i -> budget.trySpend("s")).count();
  }

  @Test
  void allNodesTogetherStayWithinTheBound() {
    int nodes = 6;
    long spent =
        IntStream.range(0, nodes)
            .mapToLong(
                n -> {
                  RetryBudget budget = RetryBudget.create(clock, BOUND, () -> nodes);
                  IntStream.range(0, 100).forEach(i -> budget.request("s"));
                  return spend(budget, 1_000);
                })
            .sum();
    assertThat(spent).isAtMost((long) (0.5 * 600 + 60));
    assertThat(spent).isAtLeast(200);
  }

  @Test
  void nodeThatLosesSightOfItsPeersDoesNotTakeTheirPart() {
    int[] live = {6};
    RetryBudget budget = RetryBudget.create(clock, BOUND, () -> live[0]);
    assertThat(spend(budget, 100)).isEqualTo(7);
    live[0] = 1;
    assertThat(spend(budget, 100)).isEqualTo(0);
  }

  @Test
  void useFadesWithTheWindow() {
    RetryBudget budget = RetryBudget.create(clock, BOUND, () -> 1);
    assertThat(spend(budget, 100)).isEqualTo(42);
    clock.advance(10_000);
    assertThat(spend(budget, 100)).isEqualTo(42);
  }

  @Test
  void servicesHaveBudgetsOfTheirOwn() {
    RetryBudget budget = RetryBudget.create(clock, BOUND, () -> 1);
    spend(budget, 100);
    assertThat(budget.trySpend("other")).isTrue();
  }
}
