package org.currantslip.core.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.PeerException;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.request.ForwardedRequest;
import org.currantslip.core.request.RequestRelay;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.RelayCancel;
import org.currantslip.schema.RelayCredit;
import org.currantslip.schema.RelayRequest;
import org.jspecify.annotations.Nullable;

/**
 * Hands requests over to peers and receives their responses.
 *
 * <p>Not thread-safe; confined to the decision thread.
 */
public final class RelayClient implements RequestRelay {
  /** Frames are limited to 8 MiB, and a link carries heartbeats beside them. */
  private static final int MAX_BODY_BYTES = 1 << 20;

  /** Several round trips, and the lag at which a helper refuses. */
  private static final long ACCEPT_TIMEOUT_MS = 600;

  /** Peers that are asked in turn if a frame cannot be sent at all. */
  private static final int MAX_SEND_TRIES = 3;

  private final Clock clock;
  private final PeerNetwork peers;
  private final RelayOptions options;
  private final RelayCounts counts;
  private final HelperChoice helpers;
  private final long incarnation;
  private final Map<Long, OutgoingRelay> open = new HashMap<>();
  private long lastId;

  private RelayClient(
      Clock clock,
      PeerNetwork peers,
      RelayOptions options,
      RelayCounts counts,
      HelperChoice helpers,
      long incarnation) {
    this.clock = clock;
    this.peers = peers;
    this.options = options;
    this.counts = counts;
    this.helpers = helpers;
    this.incarnation = incarnation;
  }

  /**
   * Creates the relay of a node.
   *
   * @param reachingPeers returns the serving peers that reach endpoints as far as is known
   */
  public static RelayClient create(
      Clock clock,
      PeerNetwork peers,
      NodeRecord self,
      RelayOptions options,
      RelayCounts counts,
      Supplier<List<NodeRecord>> reachingPeers) {
    long incarnation = self.getId().getIncarnation();
    return new RelayClient(
        clock,
        peers,
        options,
        counts,
        HelperChoice.create(clock, self.getFailureDomain(), reachingPeers, incarnation),
        incarnation);
  }

  @Override
  public Optional<Handle> start(RouterRequest request, Terms terms, Listener listener) {
    ForwardedRequest forwarded = request.forwarded();
    if (forwarded == null
        || open.size() >= options.maxOutgoing()
        || request.body().size() > MAX_BODY_BYTES) {
      return Optional.empty();
    }
    Set<String> excluded = new HashSet<>(terms.excluded());
    for (int i = 0; i < MAX_SEND_TRIES; i++) {
      String peer = helpers.choose(terms.allowedRegion(), excluded, this::openRelays).orElse(null);
      if (peer == null) {
        return Optional.empty();
      }
      long id = ++lastId;
      RelayRequest message =
          RelayCodec.request(request, forwarded, terms, clock.nowMs())
              .setRelayId(id)
              .setOriginIncarnation(incarnation)
              .setCreditBytes(OutgoingRelay.WINDOW_BYTES)
              .build();
      CompletableFuture<PeerFrame> reply =
          peers.request(
              peer, PeerFrame.newBuilder().setRelayRequest(message).build(), ACCEPT_TIMEOUT_MS);
      if (!reply.isCompletedExceptionally()) {
        OutgoingRelay relay = OutgoingRelay.create(peer, terms, listener);
        open.put(id, relay);
        counts.onSent();
        CompletableFuture<PeerFrame> unused =
            reply.whenComplete((frame, failure) -> onReply(id, frame, failure));
        return Optional.of(handle(id, relay));
      }
      helpers.rest(peer);
      excluded.add(peer);
    }
    return Optional.empty();
  }

  private int openRelays(String peer) {
    return (int) open.values().stream().filter(r -> r.peer().equals(peer)).count();
  }

  private Handle handle(long id, OutgoingRelay relay) {
    return new Handle() {
      @Override
      public String peer() {
        return relay.peer();
      }

      @Override
      public void cancel() {
        if (relay.end()) {
          open.remove(id);
          sendCancel(id, relay);
        }
      }
    };
  }

  private void sendCancel(long id, OutgoingRelay relay) {
    peers.send(
        relay.peer(),
        PeerFrame.newBuilder()
            .setRelayCancel(
                RelayCancel.newBuilder().setRelayId(id).setOriginIncarnation(incarnation))
            .build());
  }

  private void onReply(long id, @Nullable PeerFrame frame, @Nullable Throwable failure) {
    OutgoingRelay relay = open.get(id);
    if (relay == null) {
      return;
    }
    if (frame == null || failure != null) {
      lose(id, relay, !isNotSent(failure), String.valueOf(failure));
    } else if (frame.hasRelayEnd()) {
      open.remove(id);
      helpers.rest(relay.peer());
      if (relay.end()) {
        relay.listener().onRelayRefused(RelayCodec.refusal(frame.getRelayEnd()));
      }
    }
  }

  private static boolean isNotSent(@Nullable Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return cause instanceof PeerException e && e.isNotSent();
  }

  private void lose(long id, OutgoingRelay relay, boolean sent, String detail) {
    open.remove(id);
    helpers.rest(relay.peer());
    if (relay.end()) {
      if (sent) {
        sendCancel(id, relay);
      }
      relay.listener().onRelayLost(sent, detail);
    }
  }

  /** Handles a frame of a peer; one of an unknown or ended relay is dropped. */
  public void onFrame(String fromNode, PeerFrame frame) {
    switch (frame.getBodyCase()) {
      case RELAY_HEAD ->
          onFrame(
              fromNode,
              frame.getRelayHead().getRelayId(),
              frame.getRelayHead().getOriginIncarnation(),
              frame.getRelayHead().getSequence(),
              frame);
      case RELAY_DATA ->
          onFrame(
              fromNode,
              frame.getRelayData().getRelayId(),
              frame.getRelayData().getOriginIncarnation(),
              frame.getRelayData().getSequence(),
              frame);
      case RELAY_END ->
          onFrame(
              fromNode,
              frame.getRelayEnd().getRelayId(),
              frame.getRelayEnd().getOriginIncarnation(),
              frame.getRelayEnd().getSequence(),
              frame);
      default -> {
        // Not a message of a response.
      }
    }
  }

  private void onFrame(
      String fromNode, long id, long originIncarnation, long sequence, PeerFrame frame) {
    OutgoingRelay relay = open.get(id);
    if (relay == null || originIncarnation != incarnation || !relay.peer().equals(fromNode)) {
      return;
    }
    relay.onFrame(sequence, frame, clock.nowMs());
    if (relay.isEnded()) {
      open.remove(id);
    } else {
      sendCredit(id, relay);
    }
  }

  private void sendCredit(long id, OutgoingRelay relay) {
    int credit = relay.dueCredit();
    if (credit > 0
        && peers.trySend(
            relay.peer(),
            PeerFrame.newBuilder()
                .setRelayCredit(
                    RelayCredit.newBuilder()
                        .setRelayId(id)
                        .setOriginIncarnation(incarnation)
                        .setBytes(credit))
                .build())) {
      relay.onCreditSent(credit);
    }
  }

  /** Gives up the relays to a peer whose link is lost. */
  public void onLinkLost(String node) {
    Map.copyOf(open)
        .forEach(
            (id, relay) -> {
              if (relay.peer().equals(node)) {
                lose(id, relay, true, "link lost");
              }
            });
  }

  /** Returns credit that callers have released, and gives up relays with lost messages. */
  public void tick() {
    if (open.isEmpty()) {
      return;
    }
    long nowMs = clock.nowMs();
    Map.copyOf(open)
        .forEach(
            (id, relay) -> {
              if (relay.hasLostMessage(nowMs)) {
                lose(id, relay, true, "message lost");
              } else {
                sendCredit(id, relay);
              }
            });
  }
}
