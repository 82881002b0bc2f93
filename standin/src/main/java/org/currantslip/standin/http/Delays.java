package org.currantslip.standin.http;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs short tasks later, on one thread. */
public final class Delays implements AutoCloseable {
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "standin-delays");
            thread.setDaemon(true);
            return thread;
          });

  private Delays() {}

  /** Returns delays with a thread of their own. */
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
