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

/** Links between fake nodes, with cuts, losses and freezes; frames take a fixed time each way. */
public final class FakePeerNetwork {
  /** What a node does with a frame; the future is ignored for frames that need no reply. */
  @FunctionalInterface
  public interface Handler {
    /** Takes a frame and returns the reply. */
    CompletableFuture<PeerFrame> onFrame(String from, PeerFrame frame);
  }

  /** Decides which frames are lost. */
  @FunctionalInterface
  public interface LossPlan {
    /** Returns whether this frame is lost. */
    boolean isLost(String from, String to, PeerFrame frame);
  }

  private final FakeEvents events;
  private final Map<String, Handler> handlers = new HashMap<>();
  private final Set<String> frozen = new HashSet<>();
  private final Map<String, List<Runnable>> held = new HashMap<>();
  private final Set<String> cuts = new HashSet<>();
  private LossPlan losses = (from, to, frame) -> false;
  private long oneWayMs = 1;
  private long frames;

  private FakePeerNetwork(FakeEvents events) {
    this.events = events;
  }

  /** Returns a network without nodes whose frames take 1 ms. */
  public static FakePeerNetwork create(FakeEvents events) {
    return new FakePeerNetwork(events);
  }

  /** Returns the network as seen by one node; an earlier node of this name is replaced. */
  public PeerNetwork join(String node, Handler handler) {
    handlers.put(node, handler);
    frozen.remove(node);
    held.remove(node);
    return new NodeView(node, handler);
  }

  /** Removes a node; frames to it are lost. */
  public void remove(String node) {
    handlers.remove(node);
    frozen.remove(node);
    held.remove(node);
  }

  /** Stops a node from taking frames; they are delivered when it is thawed. */
  public void freeze(String node) {
    frozen.add(node);
  }

  /** Delivers what a frozen node has missed. */
  public void thaw(String node) {
    frozen.remove(node);
    List<Runnable> missed = held.remove(node);
    if (missed != null) {
      missed.forEach(r -> events.after(0, r));
    }
  }

  /** Cuts or restores the link between two nodes. */
  public void setCut(String a, String b, boolean now) {
    if (now) {
      cuts.add(a + "|" + b);
      cuts.add(b + "|" + a);
    } else {
      cuts.remove(a + "|" + b);
      cuts.remove(b + "|" + a);
    }
  }

  /** Sets which frames are lost. */
  public void setLossPlan(LossPlan next) {
    losses = next;
  }

  /** Sets how long a frame takes. */
  public void setOneWayMs(long ms) {
    oneWayMs = ms;
  }

  /** Returns the number of frames sent so far. */
  public long frames() {
    return frames;
  }

  private void deliver(String from, String to, PeerFrame frame, Runnable action) {
    frames++;
    if (cuts.contains(from + "|" + to) || losses.isLost(from, to, frame)) {
      return;
    }
    events.after(oneWayMs, () -> arrive(to, action));
  }

  private void arrive(String to, Runnable action) {
    if (frozen.contains(to)) {
      held.computeIfAbsent(to, k -> new ArrayList<>()).add(action);
    } else {
      action.run();
    }
  }

  private final class NodeView implements PeerNetwork {
    private final String self;
    private final Handler own;

    private NodeView(String self, Handler own) {
      this.self = self;
      this.own = own;
    }

    private boolean isCurrent() {
      return handlers.get(self) == own;
    }

    @Override
    public void send(String node, PeerFrame frame) {
      if (isCurrent()) {
        deliver(self, node, frame, () -> handle(node, frame));
      }
    }

    @Override
    public CompletableFuture<PeerFrame> ask(String node, PeerFrame request, long timeoutMs) {
      CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
      events.after(
          timeoutMs,
          () -> arrive(self, () -> answer.completeExceptionally(PeerException.of("late"))));
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
