package org.currantslip.node.duty;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Holds the ring against a bounded queue, with many producers and one consumer. */
public final class TaskRingLincheckTest {
  private static final int CAPACITY = 4;

  private final TaskRing ring = TaskRing.ofCapacity(CAPACITY);
  private int taken;

  /** Offers a task that hands its number to the consumer. */
  @Operation
  public boolean offer(int number) {
    return ring.offer(() -> taken = number);
  }

  /** Runs the oldest task; returns its number, or null if there is none. */
  @Operation(nonParallelGroup = "consumer")
  public @Nullable Integer take() {
    return ring.drain(1, Runnable::run) == 1 ? taken : null;
  }

  @Test
  void behavesAsOneQueue() {
    new StressOptions()
        .iterations(20)
        .invocationsPerIteration(300)
        .threads(3)
        .actorsPerThread(3)
        .check(TaskRingLincheckTest.class);
  }
}
