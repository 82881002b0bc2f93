package org.currantslip.standin.load;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Keeps a number of requests under way, to find the most that an arm can do. */
final class ClosedLoop implements Runnable {
  private final LoadArm arm;
  private final LoadOptions options;
  private final long countFromNanos;
  private final long endNanos;

  ClosedLoop(LoadArm arm, LoadOptions options) {
    this.arm = arm;
    this.options = options;
    countFromNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.warmUpMs());
    endNanos = countFromNanos + TimeUnit.MILLISECONDS.toNanos(options.lengthMs());
  }

  @Override
  public void run() {
    CompletableFuture<?>[] lanes = new CompletableFuture<?>[options.inFlight()];
    for (int i = 0; i < lanes.length; i++) {
      CompletableFuture<Void> lane = new CompletableFuture<>();
      lanes[i] = lane;
      sendNext(lane);
    }
    CompletableFuture.allOf(lanes).join();
  }

  private void sendNext(CompletableFuture<Void> lane) {
    long now = System.nanoTime();
    if (now >= endNanos) {
      lane.complete(null);
      return;
    }
    var unused = arm.send(now, now >= countFromNanos).thenRunAsync(() -> sendNext(lane));
  }
}
