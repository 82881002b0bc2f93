package org.currantslip.bench.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.port.PeerException;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.PeerFrame;

/** Driven time, the nodes' ticks, and faultless links between them. */
final class Simulation {
  private static final long START_MS = 1_800_000_000_000L;
  private static final long TICK_MS = 10;

  private record Event(long atMs, long order, Runnable action) {}

  private final ManualClock clock = ManualClock.startingAt(START_MS);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final List<Runnable> ticks = new ArrayList<>();
  private final Map<String, Function<PeerFrame, CompletableFuture<PeerFrame>>> handlers =
      new HashMap<>();
  private final long oneWayMs;
  private long order;
  private long frameBytes;

  private Simulation(long oneWayMs) {
    this.oneWayMs = oneWayMs;
  }

  static Simulation create(long oneWayMs) {
    return new Simulation(oneWayMs);
  }

  ManualClock clock() {
    return clock;
  }

  void after(long delayMs, Runnable action) {
    events.add(new Event(clock.nowMs() + delayMs, order++, action));
  }

  /** Adds a node; its tick is called every 10 ms, not at the same time as those of others. */
  void addNode(
      String name, Runnable tick, Function<PeerFrame, CompletableFuture<PeerFrame>> handler) {
    ticks.add(tick);
    handlers.put(name, handler);
  }

  void run(long ms) {
    for (long i = 0; i < ms; i++) {
      clock.advance(1);
      for (Event e = events.peek(); e != null && e.atMs() <= clock.nowMs(); e = events.peek()) {
        events.remove();
        e.action().run();
      }
      for (int n = (int) (clock.nowMs() % TICK_MS); n < ticks.size(); n += (int) TICK_MS) {
        ticks.get(n).run();
      }
    }
  }

  /** Returns the bytes sent between nodes since the last call. */
  long takeFrameBytes() {
    long taken = frameBytes;
    frameBytes = 0;
    return taken;
  }

  PeerNetwork network() {
    return new PeerNetwork() {
      @Override
      public void send(String node, PeerFrame frame) {
        frameBytes += frame.getSerializedSize();
        after(oneWayMs, () -> handle(node, frame));
      }

      @Override
      public CompletableFuture<PeerFrame> request(String node, PeerFrame request, long timeoutMs) {
        CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
        frameBytes += request.getSerializedSize();
        after(oneWayMs, () -> handle(node, request).thenAccept(r -> reply(answer, r)));
        after(timeoutMs, () -> answer.completeExceptionally(PeerException.of("late")));
        return answer;
      }
    };
  }

  private void reply(CompletableFuture<PeerFrame> answer, PeerFrame frame) {
    frameBytes += frame.getSerializedSize();
    after(oneWayMs, () -> answer.complete(frame));
  }

  private CompletableFuture<PeerFrame> handle(String node, PeerFrame frame) {
    Function<PeerFrame, CompletableFuture<PeerFrame>> handler = handlers.get(node);
    return handler == null ? new CompletableFuture<>() : handler.apply(frame);
  }
}
