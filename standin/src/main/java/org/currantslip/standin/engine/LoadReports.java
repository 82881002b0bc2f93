package org.currantslip.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.currantslip.core.common.Clock;
import org.currantslip.standin.http.Json;

/** Samples the load of the engine and reports it with a lag. */
final class LoadReports {
  private static final long RATE_WINDOW_MS = 1000;
  private static final int MAX_SAMPLES = 20_000;

  private record Sample(long atMs, int running, int waiting, long tokens) {}

  private final Clock clock;
  private final long lagMs;
  private final Deque<Sample> samples = new ArrayDeque<>();

  LoadReports(Clock clock, long lagMs) {
    this.clock = clock;
    this.lagMs = lagMs;
    samples.add(new Sample(clock.nowMs(), 0, 0, 0));
  }

  /** Records a sample; {@code tokens} is the total number of tokens generated so far. */
  synchronized void addSample(int running, int waiting, long tokens) {
    Sample next = new Sample(clock.nowMs(), running, waiting, tokens);
    if (samples.getLast().atMs() == next.atMs()) {
      samples.removeLast();
    }
    samples.addLast(next);
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
  }

  synchronized ObjectNode report(String version) {
    long asOfMs = clock.nowMs() - lagMs;
    Sample current = sampleAt(asOfMs);
    Sample earlier = sampleAt(asOfMs - RATE_WINDOW_MS);
    double tokens = current.tokens() - earlier.tokens();
    return Json.object()
        .put("running", current.running())
        .put("waiting", current.waiting())
        .put("tokens_per_s", tokens * 1000 / RATE_WINDOW_MS)
        .put("reported_ms", asOfMs)
        .put("version", version);
  }

  private Sample sampleAt(long atMs) {
    Sample found = samples.getFirst();
    for (Sample sample : samples) {
      if (sample.atMs() > atMs) {
        break;
      }
      found = sample;
    }
    return found;
  }
}
