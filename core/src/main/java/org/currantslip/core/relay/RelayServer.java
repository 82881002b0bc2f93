package org.currantslip.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.reach.EndpointReach;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.RequestTrace;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.RelayCancel;
import org.currantslip.schema.RelayCredit;
import org.currantslip.schema.RelayEnd;
import org.currantslip.schema.RelayRequest;
import org.jspecify.annotations.Nullable;

/**
 * Runs requests of peers that have no path to endpoints.
 *
 * <p>Not thread-safe; confined to the decision thread.
 */
public final class RelayServer {
  private static final long MAX_PENDING_BYTES = 16L << 20;
  private static final long BUSY_RETRY_AFTER_MS = 300;

  /** Time after the deadline after which a response that the peer does not take is dropped. */
  private static final long OVERDUE_MS = 5_000;

  private record Key(String node, long incarnation, long id) {}

  /**
   * State of this node.
   *
   * @param serving returns whether this node accepts requests
   * @param lagMs returns by how much its decisions lag behind
   */
  public record Host(EndpointReach reach, BooleanSupplier serving, LongSupplier lagMs) {}

  private final Clock clock;
  private final PeerNetwork peers;
  private final RelayOptions options;
  private final RelayCounts counts;
  private final RequestEngine engine;
  private final Host host;
  private final RequestTrace trace;
  private final Map<Key, IncomingRelay> relays = new HashMap<>();

  private RelayServer(
      Clock clock,
      PeerNetwork peers,
      RelayOptions options,
      RelayCounts counts,
      RequestEngine engine,
      Host host,
      RequestTrace trace) {
    this.clock = clock;
    this.peers = peers;
    this.options = options;
    this.counts = counts;
    this.engine = engine;
    this.host = host;
    this.trace = trace;
  }

  /** Creates a server without relays. */
  public static RelayServer create(
      Clock clock,
      PeerNetwork peers,
      RelayOptions options,
      RelayCounts counts,
      RequestEngine engine,
      Host host,
      RequestTrace trace) {
    return new RelayServer(clock, peers, options, counts, engine, host, trace);
  }

  /** Accepts or refuses a request of a peer, and runs it. */
  public void onRequest(String fromNode, RelayRequest request, Consumer<PeerFrame> reply) {
    Key key = new Key(fromNode, request.getOriginIncarnation(), request.getRelayId());
    RelayEnd.Builder refusal = refusal(retryAfterMs(request));
    if (refusal != null) {
      counts.onRefused();
      trace.record(
          LogEvent.RELAY_REFUSED,
          request.getRequestId(),
          () ->
              "origin=%s code=%d relays=%d".formatted(fromNode, refusal.getCode(), relays.size()));
      reply.accept(PeerFrame.newBuilder().setRelayEnd(refusal.setRelayId(key.id())).build());
      return;
    }
    if (relays.containsKey(key)) {
      return;
    }
    counts.onAccepted();
    trace.record(
        LogEvent.RELAY_ACCEPTED,
        request.getRequestId(),
        () -> "origin=%s left_ms=%d".formatted(fromNode, request.getTimeLeftMs()));
    reply.accept(
        PeerFrame.newBuilder()
            .setRelayCredit(RelayCredit.newBuilder().setRelayId(key.id()))
            .build());
    long nowMs = clock.nowMs();
    IncomingRelay relay =
        IncomingRelay.create(
            key.id(),
            key.incarnation(),
            nowMs + request.getTimeLeftMs(),
            request.getCreditBytes(),
            frame -> peers.trySend(fromNode, frame));
    relays.put(key, relay);
    relay.setHandle(engine.start(RelayCodec.request(request, fromNode, nowMs), relay));
    removeIfDone(key, relay);
  }

  /** Spreads the returns of callers over as much time again. */
  private static long retryAfterMs(RelayRequest request) {
    return BUSY_RETRY_AFTER_MS
        + Math.floorMod(request.getRequestId().hashCode(), BUSY_RETRY_AFTER_MS);
  }

  private RelayEnd.@Nullable Builder refusal(long retryAfterMs) {
    if (!host.serving().getAsBoolean()) {
      return RelayCodec.refusal(ResultCode.NODE_LEAVING, retryAfterMs, "the helper does not serve");
    }
    if (host.reach().isCut()) {
      return RelayCodec.refusal(
          ResultCode.NO_PATH, retryAfterMs, "the helper reaches no endpoint either");
    }
    long pendingBytes = relays.values().stream().mapToLong(IncomingRelay::pendingBytes).sum();
    if (relays.size() >= options.maxIncoming()
        || pendingBytes >= MAX_PENDING_BYTES
        || host.lagMs().getAsLong() > options.maxLagMs()) {
      return RelayCodec.refusal(ResultCode.TOO_MANY_IN_FLIGHT, retryAfterMs, "the helper is busy");
    }
    return null;
  }

  private void removeIfDone(Key key, IncomingRelay relay) {
    if (relay.isDone()) {
      relays.remove(key, relay);
    }
  }

  /** Handles returned credit; that of an unknown relay is dropped. */
  public void onCredit(String fromNode, RelayCredit credit) {
    Key key = new Key(fromNode, credit.getOriginIncarnation(), credit.getRelayId());
    IncomingRelay relay = relays.get(key);
    if (relay != null) {
      relay.addCredit(credit.getBytes());
      removeIfDone(key, relay);
    }
  }

  /** Ends a request because its caller has left or the peer no longer needs it. */
  public void onCancel(String fromNode, RelayCancel cancel) {
    IncomingRelay relay =
        relays.remove(new Key(fromNode, cancel.getOriginIncarnation(), cancel.getRelayId()));
    if (relay != null) {
      relay.cancel();
    }
  }

  /** Ends the requests of a peer whose link is lost; nothing can be returned to it. */
  public void onLinkLost(String node) {
    List.copyOf(relays.keySet()).stream()
        .filter(key -> key.node().equals(node))
        .forEach(
            key -> {
              IncomingRelay relay = relays.remove(key);
              if (relay != null) {
                relay.cancel();
              }
            });
  }

  /** Returns the number of requests of peers whose responses are not complete. */
  public int openCount() {
    return relays.size();
  }

  /** Sends what could not be sent before, and drops what nobody takes. */
  public void tick() {
    if (relays.isEmpty()) {
      return;
    }
    long nowMs = clock.nowMs();
    Map.copyOf(relays)
        .forEach(
            (key, relay) -> {
              relay.flush();
              if (nowMs > relay.deadlineMs() + OVERDUE_MS) {
                relay.cancel();
              }
              removeIfDone(key, relay);
            });
  }
}
