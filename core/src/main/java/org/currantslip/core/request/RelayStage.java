package org.currantslip.core.request;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.jspecify.annotations.Nullable;

/** The part of a forwarded request's life in which peers run it, one after another. */
final class RelayStage implements RequestRelay.Listener {
  /** Peers that may be asked; the later ones only after the others have refused. */
  private static final int MAX_PEERS = 3;

  /** As for responses of endpoints, which are buffered up to this size. */
  private static final long MAX_BODY_BYTES = 16L << 20;

  /** The flow of the request, which goes on when its relay ends. */
  interface Owner {
    /** Returns the assigned request, with its route and account. */
    ResolvedRequest resolved();

    /** Runs a step; an exception in it ends this request only. */
    void guarded(Runnable step);

    /** Returns the id of the last event that the caller has, or empty. */
    String lastEventId();

    /** Passes an event on to the caller. */
    void passEvent(EndpointResponseHead head, ByteString event);

    /** Passes a complete body on to the caller and ends the request. */
    void passBody(EndpointResponseHead head, ByteString body);

    /** Ends the stream to the caller and the request. */
    void passEnd();

    /** Called when a lost peer may have run the request. */
    void onPeerLost(String detail);

    /** Called when no peer runs the request. */
    void onNoPeer(ResultCode code, long retryAfterMs, String detail);

    /** Ends the request with a refusal. */
    void refuse(RefusalException refusal);
  }

  private final ForwardPorts ports;
  private final RouterRequest request;
  private final CallerResponse response;
  private final AttemptHistory history;
  private final Owner owner;
  private final Set<String> asked = new HashSet<>();
  private RequestRelay.@Nullable Handle handle;
  private RequestRelay.@Nullable Head head;
  private ByteString body = ByteString.EMPTY;
  private String helper = "";

  private RelayStage(
      ForwardPorts ports,
      RouterRequest request,
      CallerResponse response,
      AttemptHistory history,
      Owner owner) {
    this.ports = ports;
    this.request = request;
    this.response = response;
    this.history = history;
    this.owner = owner;
  }

  static RelayStage create(
      ForwardPorts ports,
      RouterRequest request,
      CallerResponse response,
      AttemptHistory history,
      Owner owner) {
    return new RelayStage(ports, request, response, history, owner);
  }

  private boolean isRelayed() {
    ForwardedRequest forwarded = request.forwarded();
    return forwarded != null && !forwarded.relayedBy().isEmpty();
  }

  /**
   * Returns whether this node does not send the request now; a relayed one is not relayed again.
   */
  boolean isDue() {
    return !isRelayed() && !ports.reach().admits(owner.resolved().route().isRepeatable());
  }

  /** Returns whether requests are relayed, though single ones may be tried at endpoints. */
  boolean isLikely() {
    return !isRelayed() && ports.reach().state().isUnreachable();
  }

  boolean isOpen() {
    return handle != null;
  }

  /** Returns the name of the last peer that was asked, or an empty string. */
  String helper() {
    return helper;
  }

  /** Asks a peer to run the request. */
  void start() {
    ask(ResultCode.NO_PATH, 0, "no peer can run the request");
  }

  private void ask(ResultCode code, long retryAfterMs, String detail) {
    Optional<RequestRelay.Handle> started =
        asked.size() >= MAX_PEERS ? Optional.empty() : ports.relay().start(request, terms(), this);
    if (started.isEmpty()) {
      owner.onNoPeer(code, retryAfterMs, detail);
      return;
    }
    handle = started.get();
    head = null;
    body = ByteString.EMPTY;
    helper = started.get().peer();
    asked.add(helper);
    history.onRelayed();
    String route = owner.resolved().route().name();
    ports
        .trace()
        .record(
            LogEvent.REQUEST_RELAYED,
            request.requestId(),
            () -> "route=%s helper=%s peers_asked=%d".formatted(route, helper, asked.size()));
  }

  private RequestRelay.Terms terms() {
    ImmutableSet<String> routeHomes = owner.resolved().route().homes();
    ImmutableSet<String> accountHomes = owner.resolved().account().homes();
    return new RequestRelay.Terms(
        owner.resolved().deadlineMs(),
        owner.lastEventId(),
        region ->
            (routeHomes.isEmpty() || routeHomes.contains(region))
                && (accountHomes.isEmpty() || accountHomes.contains(region)),
        asked,
        history.runCount(),
        response::backlogBytes);
  }

  /** Ends the relay because its response is no longer needed. */
  void cancel() {
    RequestRelay.Handle open = handle;
    handle = null;
    if (open != null) {
      open.cancel();
    }
  }

  @Override
  public void onRelayHead(RequestRelay.Head next) {
    owner.guarded(() -> acceptHead(next));
  }

  private void acceptHead(RequestRelay.Head next) {
    history.onAnswering();
    EndpointResponseHead endpointHead = next.endpointHead();
    if (response.isStarted() && !(next.stream() && response.isContinuedBy(endpointHead))) {
      cancel();
      String detail = "status %d instead of a resumed stream".formatted(endpointHead.status());
      owner.refuse(RefusalException.of(ResultCode.ENDPOINT_FAILED, Ran.YES, 0, detail));
      return;
    }
    head = next;
    response.setModelVersion(next.model(), next.version(), false, "");
  }

  @Override
  public void onRelayData(ByteString data) {
    owner.guarded(() -> acceptData(data));
  }

  private void acceptData(ByteString data) {
    RequestRelay.Head current = head;
    if (current == null) {
      return;
    }
    if (current.stream()) {
      owner.passEvent(current.endpointHead(), data);
    } else if (body.size() + data.size() > MAX_BODY_BYTES) {
      cancel();
      owner.refuse(
          RefusalException.of(
              ResultCode.ANSWER_TOO_LARGE, Ran.YES, 0, "relayed response is too large"));
    } else {
      body = body.concat(data);
    }
  }

  @Override
  public void onRelayComplete() {
    owner.guarded(this::complete);
  }

  private void complete() {
    handle = null;
    RequestRelay.Head current = head;
    if (current == null) {
      handleLoss(true, "response without a head");
    } else if (current.stream()) {
      owner.passEnd();
    } else {
      owner.passBody(current.endpointHead(), body);
    }
  }

  @Override
  public void onRelayRefused(RefusalException refusal) {
    owner.guarded(() -> handleRefusal(refusal));
  }

  private void handleRefusal(RefusalException refusal) {
    handle = null;
    traceFailure("refused code=%d ran=%s".formatted(refusal.code().number(), refusal.ran().text()));
    if (refusal.ran() != Ran.NO) {
      history.onMayHaveRun();
      owner.refuse(refusal);
      return;
    }
    history.onRelayRefused();
    if (RequestRelay.mayOtherPeerTake(refusal.code())) {
      ask(refusal.code(), refusal.retryAfterMs(), refusal.detail());
    } else {
      owner.onNoPeer(refusal.code(), refusal.retryAfterMs(), refusal.detail());
    }
  }

  @Override
  public void onRelayLost(boolean sent, String detail) {
    owner.guarded(() -> handleLoss(sent, detail));
  }

  private void handleLoss(boolean sent, String detail) {
    handle = null;
    traceFailure("sent=%b reason=%s".formatted(sent, detail));
    if (sent) {
      history.onMayHaveRun();
      owner.onPeerLost(detail);
    } else {
      history.onRelayRefused();
      ask(ResultCode.NO_PATH, 0, detail);
    }
  }

  private void traceFailure(String fields) {
    ports
        .trace()
        .record(
            LogEvent.RELAY_FAILED,
            request.requestId(),
            () -> "helper=%s %s".formatted(helper, fields));
  }
}
