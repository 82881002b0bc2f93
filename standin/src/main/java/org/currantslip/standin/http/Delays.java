package org.currantslip.standin.http;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs short tasks after a delay, all on one thread. */
public final class Delays implements AutoCloseable {
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "standin-delays");
            thread.setDaemon(true);
            return thread;
          });

  private Delays() {}

  /** Returns an instance with its own thread. */
  public static Delays create() {
    return new Delays();
  }

  /** Runs a task after {@code delayMs} milliseconds. */
  public void after(long delayMs, Runnable task) {
    ScheduledFuture<?> unused = executor.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
