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

/**
 * Discrete-event simulation of a fleet: a simulated clock, the periodic ticks of the nodes, and
 * links between them without loss and with a fixed latency.
 */
final class Simulation {
  private static final long START_MS = 1_800_000_000_000L;
  private static final long TICK_MS = 10;

  private record Event(long atMs, long sequence, Runnable action) {}

  private final ManualClock clock = ManualClock.startingAt(START_MS);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
  private final List<Runnable> nodeTicks = new ArrayList<>();
  private final Map<String, Function<PeerFrame, CompletableFuture<PeerFrame>>> handlers =
      new HashMap<>();
  private final long linkLatencyMs;
  private long sequence;
  private long frameBytes;

  private Simulation(long linkLatencyMs) {
    this.linkLatencyMs = linkLatencyMs;
  }

  static Simulation create(long linkLatencyMs) {
    return new Simulation(linkLatencyMs);
  }

  ManualClock clock() {
    return clock;
  }

  void after(long delayMs, Runnable action) {
    events.add(new Event(clock.nowMs() + delayMs, sequence++, action));
  }

  /**
   * Adds a node, whose tick is called every 10 ms; the ticks of consecutive nodes are 1 ms apart.
   */
  void addNode(
      String name, Runnable tick, Function<PeerFrame, CompletableFuture<PeerFrame>> handler) {
    nodeTicks.add(tick);
    handlers.put(name, handler);
  }

  void run(long ms) {
    for (long i = 0; i < ms; i++) {
      clock.advance(1);
      for (Event e = events.peek(); e != null && e.atMs() <= clock.nowMs(); e = events.peek()) {
        events.remove();
        e.action().run();
      }
      for (int node = (int) (clock.nowMs() % TICK_MS);
          node < nodeTicks.size();
          node += (int) TICK_MS) {
        nodeTicks.get(node).run();
      }
    }
  }

  /** Returns the number of bytes sent between nodes since the last call of this method. */
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
        after(linkLatencyMs, () -> deliver(node, frame));
      }

      @Override
      public CompletableFuture<PeerFrame> request(String node, PeerFrame request, long timeoutMs) {
        CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
        frameBytes += request.getSerializedSize();
        after(
            linkLatencyMs,
            () -> deliver(node, request).thenAccept(response -> sendReply(answer, response)));
        after(timeoutMs, () -> answer.completeExceptionally(PeerException.of("timed out")));
        return answer;
      }
    };
  }

  private void sendReply(CompletableFuture<PeerFrame> answer, PeerFrame frame) {
    frameBytes += frame.getSerializedSize();
    after(linkLatencyMs, () -> answer.complete(frame));
  }

  private CompletableFuture<PeerFrame> deliver(String node, PeerFrame frame) {
    Function<PeerFrame, CompletableFuture<PeerFrame>> handler = handlers.get(node);
    return handler == null ? new CompletableFuture<>() : handler.apply(frame);
  }
}
