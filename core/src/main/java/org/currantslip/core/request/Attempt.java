package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.common.Clock;
import org.currantslip.core.routing.CallResult;
import org.currantslip.core.routing.EndpointChooser;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * One call to one endpoint: keeps its timers and its held data, and turns its events into exactly
 * one end. Events after the end are dropped.
 */
final class Attempt implements EndpointListener {
  /** What the request does with the call's events. */
  interface Owner {
    /** Takes one unit of data; returns whether it was passed on, so that it need not be held. */
    boolean onData(Attempt attempt, ByteString data);

    /** The endpoint answered completely. */
    void onAnswer(Attempt attempt, EndpointUsage usage);

    /** The endpoint did not answer completely. */
    void onFault(Attempt attempt, Fault fault);
  }

  /** How an attempt failed. */
  enum Fault {
    NOT_SENT,
    BROKEN,
    SILENT,
    CROSSED,
    TRUNCATED,
    TOO_LARGE,
    ERROR_STATUS
  }

  private final EndpointRecord endpoint;
  private final EndpointRequest request;
  private final EngineOptions options;
  private final Clock clock;
  private final EndpointChooser chooser;
  private final Owner owner;
  private final long startedMs;
  private final List<ByteString> held = new ArrayList<>();
  private @Nullable EndpointCall call;
  private long heldBytes;
  private long lastEventMs;
  private long firstByteMs = -1;
  private int status;
  private String contentType = "";
  private boolean ended;

  private Attempt(
      EndpointRecord endpoint,
      EndpointRequest request,
      EngineOptions options,
      Clock clock,
      EndpointChooser chooser,
      Owner owner) {
    this.endpoint = endpoint;
    this.request = request;
    this.options = options;
    this.clock = clock;
    this.chooser = chooser;
    this.owner = owner;
    startedMs = clock.nowMs();
    lastEventMs = startedMs;
  }

  static Attempt create(
      EndpointRecord endpoint,
      EndpointRequest request,
      EngineOptions options,
      Clock clock,
      EndpointChooser chooser,
      Owner owner) {
    return new Attempt(endpoint, request, options, clock, chooser, owner);
  }

  void start(EndpointCalls calls, long expectedTokens) {
    chooser.dispatched(endpoint.getId(), expectedTokens);
    EndpointCall started = calls.start(endpoint, request, this);
    if (ended) {
      started.cancel();
    } else {
      call = started;
    }
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  int status() {
    return status;
  }

  String contentType() {
    return contentType;
  }

  List<ByteString> held() {
    return held;
  }

  boolean isEnded() {
    return ended;
  }

  /** Returns whether a status line came back, so that the endpoint has taken the request. */
  boolean hasAnswered() {
    return firstByteMs >= 0;
  }

  /** Returns whether the endpoint has been silent for too long. */
  boolean isSilent(long nowMs) {
    long bound = hasAnswered() ? options.betweenDataMs() : options.firstByteMs();
    return !ended && nowMs - lastEventMs >= bound;
  }

  /** Ends the attempt because the endpoint is silent. */
  void failSilent() {
    if (!ended) {
      fail(Fault.SILENT);
    }
  }

  /** Stops the call because nobody waits for its answer any more. */
  void cancel() {
    if (!ended) {
      end(false, false);
    }
  }

  @Override
  public void onHead(int status, String contentType, String correlation) {
    if (ended) {
      return;
    }
    lastEventMs = clock.nowMs();
    firstByteMs = lastEventMs - startedMs;
    this.status = status;
    this.contentType = contentType;
    if (!correlation.equals(request.correlation())) {
      fail(Fault.CROSSED);
    } else if (HttpStatus.isEndpointFault(status)) {
      fail(Fault.ERROR_STATUS);
    }
  }

  @Override
  public void onData(ByteString data) {
    if (ended) {
      return;
    }
    lastEventMs = clock.nowMs();
    if (owner.onData(this, data)) {
      return;
    }
    heldBytes += data.size();
    if (heldBytes > options.maxHeldBytes()) {
      fail(Fault.TOO_LARGE);
    } else {
      held.add(data);
    }
  }

  @Override
  public void onEnd(EndpointUsage usage) {
    if (ended) {
      return;
    }
    ended = true;
    chooser.finished(endpoint.getId(), result(true, false));
    owner.onAnswer(this, usage);
  }

  @Override
  public void onFailure(CallFailure failure, String detail) {
    if (ended) {
      return;
    }
    fail(
        switch (failure) {
          case NOT_SENT -> Fault.NOT_SENT;
          case BROKEN -> Fault.BROKEN;
          case TRUNCATED -> Fault.TRUNCATED;
          case MALFORMED -> Fault.TOO_LARGE;
        });
  }

  private void fail(Fault fault) {
    end(false, fault == Fault.SILENT);
    owner.onFault(this, fault);
  }

  private void end(boolean ok, boolean silent) {
    ended = true;
    if (call != null) {
      call.cancel();
    }
    chooser.finished(endpoint.getId(), result(ok, silent));
  }

  private CallResult result(boolean ok, boolean silent) {
    return new CallResult(ok, silent, firstByteMs, clock.nowMs() - startedMs);
  }
}
