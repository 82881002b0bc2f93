package org.currantslip.core.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.port.PeerException;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.PeerFrame;

/**
 * A simulated peer network with fixed latency and bandwidth, link cuts, frame loss and frozen
 * nodes.
 */
public final class FakePeerNetwork {
  /** Handles the frames received by a node; the reply to a one-way frame is ignored. */
  @FunctionalInterface
  public interface Handler {
    /** Handles a frame and returns the reply. */
    CompletableFuture<PeerFrame> onFrame(String from, PeerFrame frame);
  }

  /** Selects the frames that are lost. */
  @FunctionalInterface
  public interface LossPlan {
    /** Returns whether this frame is lost. */
    boolean isLost(String from, String to, PeerFrame frame);
  }

  private static final long MICROS_PER_MS = 1_000;

  private final FakeEvents events;
  private final Map<String, Handler> handlers = new HashMap<>();
  private final Set<String> frozen = new HashSet<>();
  private final Map<String, List<Runnable>> queued = new HashMap<>();
  private final Set<String> cuts = new HashSet<>();
  private LossPlan losses = (from, to, frame) -> false;
  private final Map<String, Long> sentUntilMicros = new HashMap<>();
  private long latencyMs = 1;
  private long linkBytesPerMs = Long.MAX_VALUE;
  private final Map<String, Long> nodeBytesPerMs = new HashMap<>();
  private long frameCount;
  private long byteCount;

  private FakePeerNetwork(FakeEvents events) {
    this.events = events;
  }

  /** Returns a network without nodes and with a one-way latency of 1 ms. */
  public static FakePeerNetwork create(FakeEvents events) {
    return new FakePeerNetwork(events);
  }

  /** Adds a node and returns its network; replaces an existing node of the same name. */
  public PeerNetwork join(String node, Handler handler) {
    handlers.put(node, handler);
    frozen.remove(node);
    queued.remove(node);
    return new NodeView(node, handler);
  }

  /** Removes a node; frames sent to it are lost. */
  public void remove(String node) {
    handlers.remove(node);
    frozen.remove(node);
    queued.remove(node);
  }

  /** Freezes a node; frames sent to it are queued until it is thawed. */
  public void freeze(String node) {
    frozen.add(node);
  }

  /** Thaws a node and delivers its queued frames. */
  public void thaw(String node) {
    frozen.remove(node);
    List<Runnable> frozenFrames = queued.remove(node);
    if (frozenFrames != null) {
      frozenFrames.forEach(r -> events.after(0, r));
    }
  }

  /** Cuts or restores the link between two nodes. */
  public void setCut(String a, String b, boolean disconnected) {
    if (disconnected) {
      cuts.add(a + "|" + b);
      cuts.add(b + "|" + a);
    } else {
      cuts.remove(a + "|" + b);
      cuts.remove(b + "|" + a);
    }
  }

  /** Sets the plan that selects lost frames. */
  public void setLossPlan(LossPlan next) {
    losses = next;
  }

  /** Sets the one-way latency of a frame. */
  public void setLatencyMs(long ms) {
    latencyMs = ms;
  }

  /** Sets the rate at which a node sends; its frames follow each other on one link. */
  public void setLinkBytesPerMs(long bytesPerMs) {
    linkBytesPerMs = bytesPerMs;
  }

  /** Sets the rate at which one node sends. */
  public void setLinkBytesPerMs(String node, long bytesPerMs) {
    nodeBytesPerMs.put(node, bytesPerMs);
  }

  /** Returns the number of frames sent so far. */
  public long frameCount() {
    return frameCount;
  }

  /** Returns the total size of the frames sent so far. */
  public long byteCount() {
    return byteCount;
  }

  private void deliver(String from, String to, PeerFrame frame, Runnable action) {
    frameCount++;
    byteCount += frame.getSerializedSize();
    if (cuts.contains(from + "|" + to) || losses.isLost(from, to, frame)) {
      return;
    }
    events.after(latencyMs + sendMs(from, frame), () -> arrive(to, action));
  }

  private long sendMs(String from, PeerFrame frame) {
    long nowMicros = MICROS_PER_MS * events.clock().nowMs();
    long startMicros = Math.max(nowMicros, sentUntilMicros.getOrDefault(from, 0L));
    long bytesPerMs = nodeBytesPerMs.getOrDefault(from, linkBytesPerMs);
    long endMicros = startMicros + MICROS_PER_MS * frame.getSerializedSize() / bytesPerMs;
    sentUntilMicros.put(from, endMicros);
    return (endMicros - nowMicros) / MICROS_PER_MS;
  }

  private void arrive(String to, Runnable action) {
    if (frozen.contains(to)) {
      queued.computeIfAbsent(to, k -> new ArrayList<>()).add(action);
    } else {
      action.run();
    }
  }

  private final class NodeView implements PeerNetwork {
    private final String self;
    private final Handler handler;

    private NodeView(String self, Handler handler) {
      this.self = self;
      this.handler = handler;
    }

    private boolean isCurrent() {
      return handlers.get(self) == handler;
    }

    @Override
    public void send(String node, PeerFrame frame) {
      if (isCurrent()) {
        deliver(self, node, frame, () -> handle(node, frame));
      }
    }

    @Override
    public CompletableFuture<PeerFrame> request(String node, PeerFrame request, long timeoutMs) {
      CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
      events.after(
          timeoutMs,
          () ->
              arrive(
                  self, () -> answer.completeExceptionally(PeerException.of("request timed out"))));
      if (isCurrent()) {
        deliver(
            self,
            node,
            request,
            () ->
                handle(node, request)
                    .thenAccept(r -> deliver(node, self, r, () -> completeIfCurrent(answer, r))));
      }
      return answer;
    }

    private void completeIfCurrent(CompletableFuture<PeerFrame> answer, PeerFrame reply) {
      if (isCurrent()) {
        answer.complete(reply);
      }
    }

    private CompletableFuture<PeerFrame> handle(String node, PeerFrame frame) {
      Handler target = handlers.get(node);
      return target == null ? new CompletableFuture<>() : target.onFrame(self, frame);
    }
  }
}
