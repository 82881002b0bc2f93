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

/** Continuous batching: requests enter free slots by priority, and all slots advance together. */
final class Batch {
  private final EngineOptions options;
  private final Clock clock;
  private final Delays delays;
  private final PrefixCache cache;
  private final LoadReports loads;

  @GuardedBy("this")
  private final PriorityQueue<Sequence> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt((Sequence s) -> -s.request().priority())
              .thenComparingLong(Sequence::enteredNanos));

  @GuardedBy("this")
  private final List<Sequence> running = new ArrayList<>();

  @GuardedBy("this")
  private boolean stepping;

  @GuardedBy("this")
  private long tokens;

  @GuardedBy("this")
  private long started;

  @GuardedBy("this")
  private long finished;

  @GuardedBy("this")
  private long cancelled;

  Batch(EngineOptions options, Clock clock, Delays delays, PrefixCache cache, LoadReports loads) {
    this.options = options;
    this.clock = clock;
    this.delays = delays;
    this.cache = cache;
    this.loads = loads;
  }

  synchronized void add(Sequence sequence) {
    started++;
    VersionProfile profile = options.profile(sequence.request().version());
    if (profile.tokenMs() == 0 && profile.prefillMs() == 0) {
      runAtOnce(sequence);
      return;
    }
    waiting.add(sequence);
    fill();
    note();
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
  private void runAtOnce(Sequence sequence) {
    Sequence.Progress progress = Sequence.Progress.RUNNING;
    while (progress == Sequence.Progress.RUNNING) {
      progress = sequence.step();
      tokens++;
    }
    count(progress);
  }

  @GuardedBy("this")
  private void fill() {
    while (running.size() < options.slots() && !waiting.isEmpty()) {
      Sequence next = waiting.remove();
      VersionProfile profile = options.profile(next.request().version());
      boolean cached = cache.use(next.request().prefixHash());
      next.dueAt(clock.nowMs() + (cached ? profile.tokenMs() : profile.prefillMs()));
      running.add(next);
    }
  }

  @GuardedBy("this")
  private void scheduleStep() {
    if (stepping || running.isEmpty()) {
      return;
    }
    stepping = true;
    long dueMs = running.stream().mapToLong(Sequence::dueMs).min().orElseThrow();
    delays.after(Math.max(1, dueMs - clock.nowMs()), this::step);
  }

  private synchronized void step() {
    stepping = false;
    long now = clock.nowMs();
    for (Iterator<Sequence> it = running.iterator(); it.hasNext(); ) {
      Sequence sequence = it.next();
      if (sequence.dueMs() <= now && !advance(sequence)) {
        it.remove();
      }
    }
    fill();
    note();
    scheduleStep();
  }

  @GuardedBy("this")
  private boolean advance(Sequence sequence) {
    Sequence.Progress progress = sequence.step();
    tokens++;
    sequence.dueAt(sequence.dueMs() + options.profile(sequence.request().version()).tokenMs());
    count(progress);
    return progress == Sequence.Progress.RUNNING;
  }

  @GuardedBy("this")
  private void count(Sequence.Progress progress) {
    if (progress == Sequence.Progress.FINISHED) {
      finished++;
    } else if (progress == Sequence.Progress.CANCELLED) {
      cancelled++;
    }
  }

  @GuardedBy("this")
  private void note() {
    loads.note(running.size(), waiting.size(), tokens);
  }
}
