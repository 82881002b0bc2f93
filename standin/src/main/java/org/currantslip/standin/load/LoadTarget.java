package org.currantslip.standin.load;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;
import org.currantslip.standin.caller.CallerClient;

/** Sends requests to a set of addresses in round-robin order. */
final class LoadTarget {
  private static final String CORRELATION = "Currantslip-Correlation";

  private final String name;
  private final List<String> addresses;
  private final CallerClient client;
  private final LoadOptions options;
  private final LoadStats stats = new LoadStats();
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicLong pending = new AtomicLong();

  LoadTarget(String name, List<String> addresses, CallerClient client, LoadOptions options) {
    this.name = name;
    this.addresses = addresses;
    this.client = client;
    this.options = options;
  }

  String name() {
    return name;
  }

  LoadStats stats() {
    return stats;
  }

  long pending() {
    return pending.get();
  }

  /** Sends a request that was due at {@code dueNanos}; the future completes with its answer. */
  CompletableFuture<Void> send(long dueNanos, boolean counted) {
    long number = sequence.getAndIncrement();
    String prompt = name + " " + options.seed() + " " + number;
    String address = addresses.get((int) (number % addresses.size()));
    CallerCall call =
        CallerCall.chat(address, options.token(), options.model(), prompt, options.stream())
            .with("Currantslip-Task", options.task())
            .with(CORRELATION, prompt);
    pending.incrementAndGet();
    long delayNanos = Math.max(0, System.nanoTime() - dueNanos);
    return client.send(call).thenAccept(a -> finish(a, prompt, counted, delayNanos));
  }

  private void finish(CallerAnswer answer, String prompt, boolean counted, long delayNanos) {
    if (counted) {
      stats.add(answer, answer.isCompleteAnswerTo(prompt), delayNanos);
    }
    pending.decrementAndGet();
  }
}
