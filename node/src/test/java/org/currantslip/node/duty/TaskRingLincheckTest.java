package org.currantslip.node.duty;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Checks that the ring is linearizable with several producers and a single consumer. */
public final class TaskRingLincheckTest {
  private static final int CAPACITY = 4;

  private final TaskRing ring = TaskRing.ofCapacity(CAPACITY);
  private int lastNumber;

  /** Offers a task that stores its number for the consumer. */
  @Operation
  public boolean offer(int number) {
    return ring.offer(() -> lastNumber = number);
  }

  /** Runs the oldest task; returns its number, or null if the ring is empty. */
  @Operation(nonParallelGroup = "consumer")
  public @Nullable Integer take() {
    return ring.drain(1, Runnable::run) == 1 ? lastNumber : null;
  }

  @Test
  void isLinearizable() {
    new StressOptions()
        .iterations(20)
        .invocationsPerIteration(300)
        .threads(3)
        .actorsPerThread(3)
        .check(TaskRingLincheckTest.class);
  }
}
