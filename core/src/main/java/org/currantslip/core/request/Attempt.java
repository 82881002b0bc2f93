package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.common.Clock;
import org.currantslip.core.routing.CallResult;
import org.currantslip.core.routing.EndpointUse;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * One call to one endpoint: keeps its timers and its held data, and turns its events into exactly
 * one end. Events after the end are dropped.
 */
final class Attempt implements EndpointListener {
  /** What the request does with the call's events. */
  interface Owner {
    /** Returns whether an answer with this head counts as a failure of the endpoint. */
    default boolean isFault(Attempt attempt, EndpointHead head) {
      return HttpStatus.isEndpointFault(head.status());
    }

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
    NOT_RUN,
    BROKEN,
    SILENT,
    CROSSED,
    TRUNCATED,
    TOO_LARGE,
    ERROR_STATUS
  }

  /** Fewer events say little about the pace of a stream. */
  private static final int MIN_PACE_EVENTS = 4;

  private final EndpointRecord endpoint;
  private final EndpointRequest request;
  private final EngineOptions options;
  private final Clock clock;
  private final EndpointUse use;
  private final Owner owner;
  private final long startedMs;
  private final List<ByteString> held = new ArrayList<>();
  private @Nullable EndpointCall call;
  private long heldBytes;
  private long lastEventMs;
  private long firstByteMs = -1;
  private EndpointHead head = EndpointHead.of(0, "", "");
  private boolean ended;

  private Attempt(
      EndpointRecord endpoint,
      EndpointRequest request,
      EngineOptions options,
      Clock clock,
      EndpointUse use,
      Owner owner) {
    this.endpoint = endpoint;
    this.request = request;
    this.options = options;
    this.clock = clock;
    this.use = use;
    this.owner = owner;
    startedMs = clock.nowMs();
    lastEventMs = startedMs;
  }

  static Attempt create(
      EndpointRecord endpoint,
      EndpointRequest request,
      EngineOptions options,
      Clock clock,
      EndpointUse use,
      Owner owner) {
    return new Attempt(endpoint, request, options, clock, use, owner);
  }

  void start(EndpointCalls calls, long expectedTokens) {
    use.started(expectedTokens);
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
    return head.status();
  }

  String contentType() {
    return head.contentType();
  }

  EndpointHead head() {
    return head;
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

  /** Returns the time since the start of the call. */
  long ageMs() {
    return clock.nowMs() - startedMs;
  }

  /** Returns the mean time between events of a stream, or -1 when it had too few. */
  double eventPaceMs(int events) {
    return events < MIN_PACE_EVENTS || !hasAnswered()
        ? -1
        : (double) (lastEventMs - startedMs - firstByteMs) / (events - 1);
  }

  /** Returns whether the endpoint has been silent for too long. */
  boolean isSilent(long nowMs) {
    long bound = hasAnswered() ? options.betweenDataMs() : options.firstByteMs();
    return !ended && nowMs - lastEventMs >= bound;
  }

  /** Returns whether nothing came from the endpoint for so long. */
  boolean isQuietFor(long ms, long nowMs) {
    return !ended && nowMs - lastEventMs >= ms;
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
      finish(result(false, false, true));
    }
  }

  @Override
  public void onHead(EndpointHead head) {
    if (ended) {
      return;
    }
    lastEventMs = clock.nowMs();
    this.head = head;
    if (!head.correlation().equals(request.correlation())) {
      fail(Fault.CROSSED);
    } else if (head.notRun()) {
      fail(Fault.NOT_RUN);
    } else if (owner.isFault(this, head)) {
      fail(Fault.ERROR_STATUS);
    } else {
      firstByteMs = lastEventMs - startedMs;
      use.answering(firstByteMs);
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
    use.finished(result(true, false, false));
    owner.onAnswer(this, usage);
  }

  @Override
  public void onFailure(CallFailure failure, String detail) {
    if (ended) {
      return;
    }
    if (failure == CallFailure.NOT_SENT) {
      use.unreachable();
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
    finish(result(false, fault == Fault.SILENT, fault == Fault.NOT_RUN));
    owner.onFault(this, fault);
  }

  private void finish(CallResult result) {
    ended = true;
    if (call != null) {
      call.cancel();
    }
    use.finished(result);
  }

  private CallResult result(boolean ok, boolean silent, boolean declined) {
    return new CallResult(ok, silent, firstByteMs, clock.nowMs() - startedMs, declined);
  }
}
