package org.currantslip.node.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.port.PeerException;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.node.log.EventLog;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/**
 * Links to other nodes, opened when there is something to send.
 *
 * <p>All state belongs to the decision thread.
 */
public final class PeerLinks implements PeerNetwork {
  private static final int MAX_QUEUED_FRAMES = 256;
  private static final int MAX_ASKS = 8_192;
  private static final long REOPEN_MS = 200;

  private record Ask(long correlation, String node, long deadlineMs) {}

  private record Replaced(PeerLink link, long atMs) {}

  private static final class Opening {
    private final Deque<PeerFrame> frames = new ArrayDeque<>();
  }

  private final String self;
  private final PeerOptions options;
  private final Clock clock;
  private final PeerTransport transport;
  private final Function<String, Optional<NodeRecord>> directory;
  private PeerDispatcher dispatcher = PeerDispatcher.none();
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Map<String, Opening> openings = new HashMap<>();
  private final Map<String, Long> notBeforeMs = new HashMap<>();
  private final Map<Long, CompletableFuture<PeerFrame>> asks = new HashMap<>();
  private final PriorityQueue<Ask> deadlines =
      new PriorityQueue<>(Comparator.comparingLong(Ask::deadlineMs));
  private final List<Replaced> closing = new ArrayList<>();
  private long lastCorrelation;
  private long framesTaken;

  private PeerLinks(
      NodeRecord self,
      PeerOptions options,
      PeerTls tls,
      Clock clock,
      Executor decisions,
      Function<String, Optional<NodeRecord>> directory) {
    this.self = self.getId().getName();
    this.options = options;
    this.clock = clock;
    this.directory = directory;
    transport = PeerTransport.create(self, options, tls, clock, decisions, new Events());
  }

  /**
   * Returns links that are not open yet.
   *
   * @param decisions runs tasks on the decision thread
   * @param directory finds the record of a node, live or not
   */
  public static PeerLinks create(
      NodeRecord self,
      PeerOptions options,
      PeerTls tls,
      Clock clock,
      Executor decisions,
      Function<String, Optional<NodeRecord>> directory) {
    return new PeerLinks(self, options, tls, clock, decisions, directory);
  }

  /** Opens the port for other nodes and returns it; their frames go to {@code target}. */
  public int listen(PeerDispatcher target) throws InterruptedException {
    dispatcher = target;
    return transport.listen();
  }

  /** Closes all links and the port. */
  public void close() {
    transport.close();
  }

  /** Returns how many links are open. */
  public int openLinks() {
    return links.size();
  }

  /** Returns how many frames peers have sent so far. */
  public long framesTaken() {
    return framesTaken;
  }

  @Override
  public void send(String node, PeerFrame frame) {
    transmit(node, frame);
  }

  @Override
  public CompletableFuture<PeerFrame> ask(String node, PeerFrame request, long timeoutMs) {
    if (asks.size() >= MAX_ASKS) {
      return CompletableFuture.failedFuture(PeerException.of("too many requests to peers"));
    }
    long correlation = ++lastCorrelation;
    if (!transmit(node, request.toBuilder().setCorrelation(correlation).build())) {
      return CompletableFuture.failedFuture(PeerException.of("no link to " + node));
    }
    CompletableFuture<PeerFrame> reply = new CompletableFuture<>();
    asks.put(correlation, reply);
    deadlines.add(new Ask(correlation, node, clock.nowMs() + timeoutMs));
    return reply;
  }

  /** Fails requests that are late and closes replaced links. */
  public void tick() {
    long nowMs = clock.nowMs();
    for (Ask ask = deadlines.peek(); ask != null; ask = deadlines.peek()) {
      if (ask.deadlineMs() > nowMs && asks.containsKey(ask.correlation())) {
        break;
      }
      deadlines.remove();
      fail(ask, "no reply in time from ");
    }
    closing.removeIf(replaced -> closeIfDue(replaced, nowMs));
  }

  /** Closes a replaced link once no reply can come over it. */
  private boolean closeIfDue(Replaced replaced, long nowMs) {
    boolean due = nowMs - replaced.atMs() >= options.silentMs();
    if (due) {
      replaced.link().close();
    }
    return due || !replaced.link().isOpen();
  }

  private void fail(Ask ask, String why) {
    CompletableFuture<PeerFrame> reply = asks.remove(ask.correlation());
    if (reply != null) {
      reply.completeExceptionally(PeerException.of(why + ask.node()));
    }
  }

  private boolean transmit(String node, PeerFrame frame) {
    PeerLink link = links.get(node);
    if (link != null && link.isOpen()) {
      return link.send(frame);
    }
    Opening opening = openings.get(node);
    if (opening == null) {
      opening = open(node).orElse(null);
    }
    if (opening == null || opening.frames.size() >= MAX_QUEUED_FRAMES) {
      return false;
    }
    opening.frames.add(frame);
    return true;
  }

  private Optional<Opening> open(String node) {
    NodeRecord rec = directory.apply(node).orElse(null);
    if (rec == null || clock.nowMs() < notBeforeMs.getOrDefault(node, 0L)) {
      return Optional.empty();
    }
    Opening opening = new Opening();
    openings.put(node, opening);
    notBeforeMs.put(node, clock.nowMs() + REOPEN_MS);
    transport.open(node, rec.getPeerAddress());
    return Optional.of(opening);
  }

  private void failAsks(String node, String why) {
    deadlines.stream()
        .filter(ask -> ask.node().equals(node))
        .toList()
        .forEach(ask -> fail(ask, why));
  }

  /** Returns which of two links to one node stays; both nodes choose the same. */
  private PeerLink preferred(PeerLink one, PeerLink other) {
    PeerLink newer = one.openedMs() >= other.openedMs() ? one : other;
    boolean crossed = Math.abs(one.openedMs() - other.openedMs()) < options.silentMs();
    boolean sameStart = one.peer().getId().equals(other.peer().getId());
    String first = one.openedBy(self);
    String second = other.openedBy(self);
    if (!crossed || !sameStart || first.equals(second)) {
      return newer;
    }
    return first.compareTo(second) < 0 ? one : other;
  }

  private final class Events implements LinkEvents {
    @Override
    public void onOpen(PeerLink link) {
      PeerLink old = links.get(link.name());
      PeerLink kept = old != null && old.isOpen() ? preferred(link, old) : link;
      if (old != null) {
        closing.add(new Replaced(kept == link ? old : link, clock.nowMs()));
      }
      links.put(link.name(), kept);
      EventLog.write(LogEvent.LINK_OPENED, "node=" + link.name());
      dispatcher.onLink(link.peer());
      Opening opening = openings.remove(link.name());
      if (opening != null) {
        opening.frames.forEach(kept::send);
      }
    }

    @Override
    public void onFrame(PeerLink link, PeerFrame frame) {
      framesTaken++;
      if (frame.getReply()) {
        CompletableFuture<PeerFrame> reply = asks.remove(frame.getCorrelation());
        if (reply != null) {
          reply.complete(frame);
        }
        return;
      }
      long correlation = frame.getCorrelation();
      dispatcher.onFrame(link.name(), frame, answer -> reply(link, correlation, answer));
    }

    private void reply(PeerLink link, long correlation, PeerFrame answer) {
      if (correlation != 0) {
        PeerLink open = link.isOpen() ? link : links.getOrDefault(link.name(), link);
        open.send(answer.toBuilder().setCorrelation(correlation).setReply(true).build());
      }
    }

    @Override
    public void onClosed(PeerLink link) {
      if (links.remove(link.name(), link)) {
        EventLog.write(LogEvent.LINK_CLOSED, "node=" + link.name());
        failAsks(link.name(), "the link broke to ");
        dispatcher.onLinkLost(link.peer());
      }
    }

    @Override
    public void onOpenFailed(String node, String reason) {
      if (openings.remove(node) != null) {
        failAsks(node, "cannot reach (" + reason + ") ");
      }
    }
  }
}
