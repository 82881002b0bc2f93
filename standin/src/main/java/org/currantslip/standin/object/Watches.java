package org.currantslip.standin.object;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.Exchange;

/** Calls that wait for an object to change. */
final class Watches {
  private static final String BINARY = "application/octet-stream";
  private static final int NOT_MODIFIED = 304;

  private final Delays delays;
  private final Map<String, List<Watch>> waiting = new ConcurrentHashMap<>();

  Watches(Delays delays) {
    this.delays = delays;
  }

  /** Answers at once when the object is newer, otherwise when it changes or the wait is over. */
  void add(
      String name,
      long after,
      long waitMs,
      Exchange exchange,
      Supplier<Optional<ObjectTable.Entry>> current) {
    Watch watch = new Watch(after, exchange);
    List<Watch> list = waiting.computeIfAbsent(name, n -> new CopyOnWriteArrayList<>());
    list.add(watch);
    if (watch.offer(current.get())) {
      list.remove(watch);
      return;
    }
    delays.after(
        waitMs,
        () -> {
          list.remove(watch);
          watch.expire();
        });
  }

  void changed(String name, Optional<ObjectTable.Entry> entry) {
    List<Watch> list = waiting.getOrDefault(name, List.of());
    list.stream().filter(w -> w.offer(entry)).toList().forEach(list::remove);
  }

  private static final class Watch {
    private final long after;
    private final Exchange exchange;
    private final AtomicBoolean answered = new AtomicBoolean();

    Watch(long after, Exchange exchange) {
      this.after = after;
      this.exchange = exchange;
    }

    boolean offer(Optional<ObjectTable.Entry> entry) {
      boolean newer = entry.isPresent() && entry.get().version() > after;
      if (newer && answered.compareAndSet(false, true)) {
        ObjectApi.answer(exchange, entry);
      }
      return newer;
    }

    void expire() {
      if (answered.compareAndSet(false, true)) {
        exchange.reply(NOT_MODIFIED, BINARY, Map.of(), new byte[0]);
      }
    }
  }
}
