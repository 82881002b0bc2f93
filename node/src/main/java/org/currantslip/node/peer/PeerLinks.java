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
 * Links to other nodes, opened on demand.
 *
 * <p>Not thread-safe: all state is confined to the decision thread.
 */
public final class PeerLinks implements PeerNetwork {
  private static final int MAX_QUEUED_FRAMES = 256;
  private static final int MAX_PENDING_REQUESTS = 8_192;
  private static final long RECONNECT_INTERVAL_MS = 200;

  private record PendingRequest(long correlation, String node, long deadlineMs) {}

  private record ReplacedLink(PeerLink link, long atMs) {}

  private static final class PendingConnection {
    private final Deque<PeerFrame> queuedFrames = new ArrayDeque<>();
  }

  private final String self;
  private final PeerOptions options;
  private final Clock clock;
  private final PeerTransport transport;
  private final Function<String, Optional<NodeRecord>> directory;
  private PeerDispatcher dispatcher = PeerDispatcher.none();
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Map<String, PendingConnection> pendingConnections = new HashMap<>();
  private final Map<String, Long> nextConnectMs = new HashMap<>();
  private final Map<Long, CompletableFuture<PeerFrame>> pendingReplies = new HashMap<>();
  private final PriorityQueue<PendingRequest> deadlines =
      new PriorityQueue<>(Comparator.comparingLong(PendingRequest::deadlineMs));
  private final List<ReplacedLink> replacedLinks = new ArrayList<>();
  private long lastCorrelation;
  private long framesReceived;

  private PeerLinks(
      NodeRecord self,
      PeerOptions options,
      PeerTls tls,
      Clock clock,
      Executor decisionThread,
      Function<String, Optional<NodeRecord>> directory) {
    this.self = self.getId().getName();
    this.options = options;
    this.clock = clock;
    this.directory = directory;
    transport =
        PeerTransport.create(self, options, tls, clock, decisionThread, new TransportListener());
  }

  /**
   * Creates the link manager without opening any connection.
   *
   * @param decisionThread executor that runs tasks on the decision thread
   * @param directory looks up the record of a node by name, whether or not the node is live
   */
  public static PeerLinks create(
      NodeRecord self,
      PeerOptions options,
      PeerTls tls,
      Clock clock,
      Executor decisionThread,
      Function<String, Optional<NodeRecord>> directory) {
    return new PeerLinks(self, options, tls, clock, decisionThread, directory);
  }

  /** Starts listening for other nodes, passes their frames to {@code target}, returns the port. */
  public int listen(PeerDispatcher target) throws InterruptedException {
    dispatcher = target;
    return transport.listen();
  }

  /** Closes all links and the listening port. */
  public void close() {
    transport.close();
  }

  /** Returns the number of open links. */
  public int openLinkCount() {
    return links.size();
  }

  /** Returns whether a link to this node is open. */
  public boolean isLinked(String node) {
    return links.containsKey(node);
  }

  /** Returns the number of frames received from peers since the start. */
  public long framesReceived() {
    return framesReceived;
  }

  @Override
  public void send(String node, PeerFrame frame) {
    sendOrQueue(node, frame);
  }

  @Override
  public boolean trySend(String node, PeerFrame frame) {
    return sendOrQueue(node, frame);
  }

  @Override
  public CompletableFuture<PeerFrame> request(String node, PeerFrame request, long timeoutMs) {
    if (pendingReplies.size() >= MAX_PENDING_REQUESTS) {
      return CompletableFuture.failedFuture(
          PeerException.notSent("too many pending peer requests"));
    }
    long correlation = ++lastCorrelation;
    if (!sendOrQueue(node, request.toBuilder().setCorrelation(correlation).build())) {
      return CompletableFuture.failedFuture(PeerException.notSent("no link available to " + node));
    }
    CompletableFuture<PeerFrame> future = new CompletableFuture<>();
    pendingReplies.put(correlation, future);
    deadlines.add(new PendingRequest(correlation, node, clock.nowMs() + timeoutMs));
    return future;
  }

  /** Fails requests whose deadline has passed and closes replaced links that have expired. */
  public void tick() {
    long nowMs = clock.nowMs();
    for (PendingRequest pendingRequest = deadlines.peek();
        pendingRequest != null;
        pendingRequest = deadlines.peek()) {
      if (pendingRequest.deadlineMs() > nowMs
          && pendingReplies.containsKey(pendingRequest.correlation())) {
        break;
      }
      deadlines.remove();
      failRequest(
          pendingRequest,
          PeerException.of("timed out waiting for a reply from " + pendingRequest.node()));
    }
    replacedLinks.removeIf(replaced -> closeIfExpired(replaced, nowMs));
  }

  /**
   * Closes a replaced link after the idle timeout, which leaves time for outstanding replies.
   *
   * @return whether the link is closed
   */
  private boolean closeIfExpired(ReplacedLink replaced, long nowMs) {
    boolean expired = nowMs - replaced.atMs() >= options.idleTimeoutMs();
    if (expired) {
      replaced.link().close();
    }
    return expired || !replaced.link().isOpen();
  }

  private void failRequest(PendingRequest pendingRequest, PeerException failure) {
    CompletableFuture<PeerFrame> future = pendingReplies.remove(pendingRequest.correlation());
    if (future != null) {
      future.completeExceptionally(failure);
    }
  }

  private boolean sendOrQueue(String node, PeerFrame frame) {
    PeerLink link = links.get(node);
    if (link != null && link.isOpen()) {
      return link.send(frame);
    }
    PendingConnection pending = pendingConnections.get(node);
    if (pending == null) {
      pending = open(node).orElse(null);
    }
    if (pending == null || pending.queuedFrames.size() >= MAX_QUEUED_FRAMES) {
      return false;
    }
    pending.queuedFrames.add(frame);
    return true;
  }

  private Optional<PendingConnection> open(String node) {
    NodeRecord nodeRecord = directory.apply(node).orElse(null);
    if (nodeRecord == null || clock.nowMs() < nextConnectMs.getOrDefault(node, 0L)) {
      return Optional.empty();
    }
    PendingConnection pending = new PendingConnection();
    pendingConnections.put(node, pending);
    nextConnectMs.put(node, clock.nowMs() + RECONNECT_INTERVAL_MS);
    transport.open(node, nodeRecord.getPeerAddress());
    return Optional.of(pending);
  }

  private void failRequests(String node, PeerException failure) {
    deadlines.stream()
        .filter(pendingRequest -> pendingRequest.node().equals(node))
        .toList()
        .forEach(pendingRequest -> failRequest(pendingRequest, failure));
  }

  /**
   * Returns which of two links to the same node to keep.
   *
   * <p>If both nodes connected to each other at about the same time, the choice depends only on
   * their names, so both keep the same link. Otherwise the newer link is kept.
   */
  private PeerLink preferredLink(PeerLink first, PeerLink second) {
    PeerLink newer = first.openedMs() >= second.openedMs() ? first : second;
    boolean simultaneous = Math.abs(first.openedMs() - second.openedMs()) < options.idleTimeoutMs();
    boolean sameIncarnation = first.peer().getId().equals(second.peer().getId());
    String firstInitiator = first.initiator(self);
    String secondInitiator = second.initiator(self);
    if (!simultaneous || !sameIncarnation || firstInitiator.equals(secondInitiator)) {
      return newer;
    }
    return firstInitiator.compareTo(secondInitiator) < 0 ? first : second;
  }

  private final class TransportListener implements LinkListener {
    @Override
    public void onOpen(PeerLink link) {
      PeerLink previous = links.get(link.name());
      PeerLink active =
          previous != null && previous.isOpen() ? preferredLink(link, previous) : link;
      if (previous != null) {
        replacedLinks.add(new ReplacedLink(active == link ? previous : link, clock.nowMs()));
      }
      links.put(link.name(), active);
      EventLog.write(LogEvent.LINK_OPENED, "node=" + link.name());
      dispatcher.onLink(link.peer());
      PendingConnection pending = pendingConnections.remove(link.name());
      if (pending != null) {
        pending.queuedFrames.forEach(active::send);
      }
    }

    @Override
    public void onFrame(PeerLink link, PeerFrame frame) {
      framesReceived++;
      if (frame.getReply()) {
        CompletableFuture<PeerFrame> future = pendingReplies.remove(frame.getCorrelation());
        if (future != null) {
          future.complete(frame);
        }
        return;
      }
      long correlation = frame.getCorrelation();
      dispatcher.onFrame(link.name(), frame, reply -> sendReply(link, correlation, reply));
    }

    private void sendReply(PeerLink link, long correlation, PeerFrame reply) {
      if (correlation != 0) {
        PeerLink target = link.isOpen() ? link : links.getOrDefault(link.name(), link);
        target.send(reply.toBuilder().setCorrelation(correlation).setReply(true).build());
      }
    }

    @Override
    public void onClosed(PeerLink link) {
      if (links.remove(link.name(), link)) {
        EventLog.write(LogEvent.LINK_CLOSED, "node=" + link.name());
        failRequests(link.name(), PeerException.of("link closed to " + link.name()));
        dispatcher.onLinkLost(link.peer());
      }
    }

    @Override
    public void onOpenFailed(String node, String reason) {
      if (pendingConnections.remove(node) != null) {
        failRequests(node, PeerException.notSent("connection failed (" + reason + ") to " + node));
      }
    }
  }
}
