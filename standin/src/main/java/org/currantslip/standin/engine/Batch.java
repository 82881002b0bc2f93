package org.currantslip.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import org.currantslip.core.common.Clock;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.Json;

/** Continuous batching: free slots are filled by priority and due sequences step together. */
final class Batch {
  private final EngineOptions options;
  private final Clock clock;
  private final Delays delays;
  private final PrefixCache cache;
  private final LoadReports loadReports;

  @GuardedBy("this")
  private final PriorityQueue<Sequence> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt((Sequence s) -> -s.request().priority())
              .thenComparingLong(Sequence::createdNanos));

  @GuardedBy("this")
  private final List<Sequence> running = new ArrayList<>();

  @GuardedBy("this")
  private boolean stepScheduled;

  @GuardedBy("this")
  private long tokens;

  @GuardedBy("this")
  private long started;

  @GuardedBy("this")
  private long finished;

  @GuardedBy("this")
  private long cancelled;

  Batch(
      EngineOptions options,
      Clock clock,
      Delays delays,
      PrefixCache cache,
      LoadReports loadReports) {
    this.options = options;
    this.clock = clock;
    this.delays = delays;
    this.cache = cache;
    this.loadReports = loadReports;
  }

  synchronized void add(Sequence sequence) {
    started++;
    VersionProfile profile = options.profile(sequence.request().version());
    if (profile.tokenMs() == 0 && profile.prefillMs() == 0) {
      runImmediately(sequence);
      return;
    }
    waiting.add(sequence);
    fillSlots();
    recordLoad();
    scheduleStep();
  }

  synchronized ObjectNode stats() {
    return Json.object()
        .put("started", started)
        .put("finished", finished)
        .put("cancelled", cancelled)
        .put("running", running.size())
        .put("waiting", waiting.size())
        .put("tokens", tokens);
  }

  @GuardedBy("this")
  private void runImmediately(Sequence sequence) {
    Sequence.Progress progress = Sequence.Progress.RUNNING;
    while (progress == Sequence.Progress.RUNNING) {
      progress = sequence.step();
      tokens++;
    }
    countOutcome(progress);
  }

  @GuardedBy("this")
  private void fillSlots() {
    while (running.size() < options.slots() && !waiting.isEmpty()) {
      Sequence next = waiting.remove();
      VersionProfile profile = options.profile(next.request().version());
      boolean cached = cache.touch(next.request().prefixHash());
      next.setDueMs(clock.nowMs() + (cached ? profile.tokenMs() : profile.prefillMs()));
      running.add(next);
    }
  }

  @GuardedBy("this")
  private void scheduleStep() {
    if (stepScheduled || running.isEmpty()) {
      return;
    }
    stepScheduled = true;
    long dueMs = running.stream().mapToLong(Sequence::dueMs).min().orElseThrow();
    delays.after(Math.max(1, dueMs - clock.nowMs()), this::step);
  }

  private synchronized void step() {
    stepScheduled = false;
    long now = clock.nowMs();
    for (Iterator<Sequence> it = running.iterator(); it.hasNext(); ) {
      Sequence sequence = it.next();
      if (sequence.dueMs() <= now && !advance(sequence)) {
        it.remove();
      }
    }
    fillSlots();
    recordLoad();
    scheduleStep();
  }

  @GuardedBy("this")
  private boolean advance(Sequence sequence) {
    Sequence.Progress progress = sequence.step();
    tokens++;
    sequence.setDueMs(sequence.dueMs() + options.profile(sequence.request().version()).tokenMs());
    countOutcome(progress);
    return progress == Sequence.Progress.RUNNING;
  }

  @GuardedBy("this")
  private void countOutcome(Sequence.Progress progress) {
    if (progress == Sequence.Progress.FINISHED) {
      finished++;
    } else if (progress == Sequence.Progress.CANCELLED) {
      cancelled++;
    }
  }

  @GuardedBy("this")
  private void recordLoad() {
    loadReports.addSample(running.size(), waiting.size(), tokens);
  }
}
