package org.currantslip.standin.object;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.currantslip.standin.http.Delays;

/** Long-polling calls that wait for changes. */
final class PendingWatches {
  private final Delays delays;
  private final List<Watch> pending = new CopyOnWriteArrayList<>();

  PendingWatches(Delays delays) {
    this.delays = delays;
  }

  /**
   * Adds a call that waits for a change.
   *
   * @param answer answers the call if there are changes or if its argument, the timeout flag, is
   *     true; returns whether it answered
   */
  void add(long timeoutMs, Predicate<Boolean> answer) {
    Watch watch = new Watch(answer);
    pending.add(watch);
    if (watch.tryAnswer(false)) {
      pending.remove(watch);
      return;
    }
    delays.after(
        timeoutMs,
        () -> {
          pending.remove(watch);
          boolean unused = watch.tryAnswer(true);
        });
  }

  void notifyChanged() {
    pending.stream().filter(w -> w.tryAnswer(false)).toList().forEach(pending::remove);
  }

  private static final class Watch {
    private final Predicate<Boolean> answer;
    private final AtomicBoolean answered = new AtomicBoolean();

    Watch(Predicate<Boolean> answer) {
      this.answer = answer;
    }

    synchronized boolean tryAnswer(boolean timedOut) {
      if (!answered.get() && answer.test(timedOut)) {
        answered.set(true);
      }
      return answered.get();
    }
  }
}
