package org.currantslip.core.common;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the limit of buffers that grow at the same time. */
final class ByteBudgetTest {
  private final ByteBudget budget = ByteBudget.of(100, 10);
  private final ByteBudget.Share first = budget.open();
  private final ByteBudget.Share second = budget.open();

  @Test
  void buffersShareTheBudget() {
    assertThat(first.tryResize(90)).isTrue();
    assertThat(second.tryResize(31)).isFalse();
    assertThat(second.tryResize(30)).isTrue();
    assertThat(budget.sharedBytes()).isEqualTo(100);
    assertThat(first.tryResize(89)).isTrue();
    assertThat(second.tryResize(31)).isTrue();
  }

  /** Guards against small responses that fail because of a single large one. */
  @Test
  void smallBuffersAreNotLimited() {
    assertThat(first.tryResize(110)).isTrue();
    assertThat(second.tryResize(10)).isTrue();
    assertThat(second.tryResize(11)).isFalse();
  }

  @Test
  void releasedBytesAreAvailableOnce() {
    assertThat(first.tryResize(110)).isTrue();
    first.release();
    first.release();
    assertThat(budget.sharedBytes()).isEqualTo(0);
    assertThat(second.tryResize(110)).isTrue();
  }
}
