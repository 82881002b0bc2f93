package org.currantslip.standin.object;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.currantslip.standin.http.Delays;

/** Calls that wait for changes. */
final class Watches {
  private final Delays delays;
  private final List<Watch> waiting = new CopyOnWriteArrayList<>();

  Watches(Delays delays) {
    this.delays = delays;
  }

  /**
   * Waits for a change.
   *
   * @param answer answers the call if there are changes, or if told to in any case; returns whether
   *     it did
   */
  void add(long waitMs, Predicate<Boolean> answer) {
    Watch watch = new Watch(answer);
    waiting.add(watch);
    if (watch.offer(false)) {
      waiting.remove(watch);
      return;
    }
    delays.after(
        waitMs,
        () -> {
          waiting.remove(watch);
          boolean unused = watch.offer(true);
        });
  }

  void changed() {
    waiting.stream().filter(w -> w.offer(false)).toList().forEach(waiting::remove);
  }

  private static final class Watch {
    private final Predicate<Boolean> answer;
    private final AtomicBoolean answered = new AtomicBoolean();

    Watch(Predicate<Boolean> answer) {
      this.answer = answer;
    }

    synchronized boolean offer(boolean inAnyCase) {
      if (!answered.get() && answer.test(inAnyCase)) {
        answered.set(true);
      }
      return answered.get();
    }
  }
}
