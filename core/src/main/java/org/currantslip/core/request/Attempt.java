package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.common.Clock;
import org.currantslip.core.routing.CallResult;
import org.currantslip.core.routing.RequestTracker;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * A single call to an endpoint. Tracks its timeouts, buffers its response and reports exactly one
 * completion. Events that arrive after completion are ignored.
 */
final class Attempt implements EndpointListener {
  /** Receives the events of an attempt. */
  interface Listener {
    /** Called for each response of the endpoint before it is judged. */
    default void onNotice(Attempt attempt, EndpointNotice notice) {}

    /** Returns whether a response with this head counts as an endpoint failure. */
    default boolean isFault(Attempt attempt, EndpointResponseHead head) {
      return HttpStatus.isEndpointFault(head.status());
    }

    /** Handles one unit of data; returns true if it was consumed and need not be buffered. */
    boolean onData(Attempt attempt, ByteString data);

    /** Called when the response is complete. */
    void onResponse(Attempt attempt, EndpointUsage usage);

    /** Called when the call failed before the response was complete. */
    void onFault(Attempt attempt, Fault fault);
  }

  /** Reason why an attempt failed. */
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

  /** Time to the first token of an idle engine without prefill, connection set-up included. */
  private static final double FIRST_TOKEN_OVERHEAD_MS = 30;

  /** Fewer events give no meaningful mean interval. */
  private static final int MIN_INTERVAL_EVENTS = 4;

  /** Shortest silence of an open stream that is held against its endpoint. */
  private static final long MIN_UNHEARD_MS = 400;

  /** An open stream is judged over this many intervals, so that one pause does not make it slow. */
  private static final int MIN_OPEN_INTERVALS = 8;

  /** Memory of a buffered unit besides its bytes; an endpoint may send units of one byte. */
  private static final int UNIT_OVERHEAD_BYTES = 64;

  private final EndpointRecord endpoint;
  private final EndpointRequest request;
  private final EngineOptions options;
  private final Clock clock;
  private final RequestTracker tracker;
  private final Listener listener;
  private final long startedMs;
  private final List<ByteString> bufferedData = new ArrayList<>();
  private @Nullable EndpointCall call;
  private long bufferedBytes;
  private int eventCount;
  private long lastEventMs;
  private long silentFromMs;
  private long firstByteMs = -1;
  private EndpointResponseHead head = EndpointResponseHead.of(0, "", "");
  private String failureDetail = "";
  private long endpointSilentMs;
  private boolean ended;

  private Attempt(
      EndpointRecord endpoint,
      EndpointRequest request,
      EngineOptions options,
      Clock clock,
      RequestTracker tracker,
      Listener listener) {
    this.endpoint = endpoint;
    this.request = request;
    this.options = options;
    this.clock = clock;
    this.tracker = tracker;
    this.listener = listener;
    startedMs = clock.nowMs();
    lastEventMs = startedMs;
    silentFromMs = startedMs;
  }

  static Attempt create(
      EndpointRecord endpoint,
      EndpointRequest request,
      EngineOptions options,
      Clock clock,
      RequestTracker tracker,
      Listener listener) {
    return new Attempt(endpoint, request, options, clock, tracker, listener);
  }

  void start(EndpointClient endpointClient, long expectedTokens) {
    tracker.onStarted(expectedTokens);
    EndpointCall started;
    try {
      started = endpointClient.start(endpoint, request, this);
    } catch (RuntimeException e) {
      // Not the endpoint's fault, as nothing was sent.
      onFailure(CallFailure.WITHDRAWN, e.toString());
      return;
    }
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

  EndpointResponseHead head() {
    return head;
  }

  /** Returns the description of the call's failure, or an empty string. */
  String failureDetail() {
    return failureDetail;
  }

  List<ByteString> bufferedData() {
    return bufferedData;
  }

  boolean isEnded() {
    return ended;
  }

  /**
   * Returns whether a response head was accepted, which shows that the endpoint took the request.
   */
  boolean hasResponseHead() {
    return firstByteMs >= 0;
  }

  /** Returns the time since the call was started, relative to the expected first token. */
  double relativeTime() {
    return elapsedMs() / (tracker.expectedFirstTokenMs() + FIRST_TOKEN_OVERHEAD_MS);
  }

  /** Returns whether the head of the response is overdue by a multiple of its expected time. */
  boolean isHeadOverdue(double multiple) {
    return !hasResponseHead()
        && elapsedMs() >= multiple * (tracker.expectedHeadMs() + FIRST_TOKEN_OVERHEAD_MS);
  }

  /** Returns the time since the call was started. */
  long elapsedMs() {
    return clock.nowMs() - startedMs;
  }

  /** Leaves out a time in which this node could not hear the endpoint. */
  void leaveOutPause(long pauseMs) {
    silentFromMs = Math.min(clock.nowMs(), silentFromMs + pauseMs);
  }

  /** Returns the time since the endpoint last sent something on this call, or since its start. */
  long silentMs() {
    return clock.nowMs() - silentFromMs;
  }

  /** Returns for how long the endpoint had sent nothing on any call when this one failed. */
  long endpointSilentMs() {
    return endpointSilentMs;
  }

  /** Returns the time at which the request was sent. */
  long sentMs() {
    return startedMs;
  }

  /** Returns the mean time between events of a stream, or -1 if it had too few events. */
  double meanEventIntervalMs(int events) {
    return events < MIN_INTERVAL_EVENTS || !hasResponseHead()
        ? -1
        : (double) (lastEventMs - startedMs - firstByteMs) / (events - 1);
  }

  /**
   * Returns the mean time between events that the stream would have if its next event came now, or
   * -1 if it has no event yet.
   */
  double openEventIntervalMs() {
    return eventCount == 0
        ? -1
        : (double) (elapsedMs() - firstByteMs) / Math.max(MIN_OPEN_INTERVALS, eventCount);
  }

  /** Returns whether the first-byte timeout or the idle timeout has expired. */
  boolean hasTimedOut(long nowMs) {
    long timeoutMs = hasResponseHead() ? options.idleTimeoutMs() : options.firstByteTimeoutMs();
    return !ended && nowMs - silentFromMs >= timeoutMs;
  }

  /** Returns whether no event arrived during the last {@code ms} milliseconds. */
  boolean isIdleFor(long ms, long nowMs) {
    return !ended && nowMs - silentFromMs >= ms;
  }

  /** Fails the attempt because the endpoint sent nothing within its timeout. */
  void failOnTimeout() {
    if (!ended) {
      fail(Fault.SILENT);
    }
  }

  /** Cancels the call because its response is no longer needed. */
  void cancel() {
    if (!ended) {
      finish(result(false, false, true));
    }
  }

  private void recordHeard() {
    lastEventMs = clock.nowMs();
    silentFromMs = lastEventMs;
    tracker.onHeard();
  }

  @Override
  public void onHead(EndpointResponseHead head) {
    if (ended) {
      return;
    }
    recordHeard();
    this.head = head;
    if (head.correlation().equals(request.correlation())) {
      listener.onNotice(this, head.notice());
    }
    if (!head.correlation().equals(request.correlation())) {
      fail(Fault.CROSSED);
    } else if (head.notRun()) {
      if (head.status() == HttpStatus.SERVICE_UNAVAILABLE) {
        tracker.onNoRoom();
      }
      fail(Fault.NOT_RUN);
    } else if (listener.isFault(this, head)) {
      fail(Fault.ERROR_STATUS);
    } else {
      firstByteMs = lastEventMs - startedMs;
      tracker.onFirstByte(firstByteMs);
    }
  }

  @Override
  public void onData(ByteString data) {
    if (ended) {
      return;
    }
    recordHeard();
    eventCount++;
    if (listener.onData(this, data)) {
      return;
    }
    bufferedBytes += data.size() + UNIT_OVERHEAD_BYTES;
    if (bufferedBytes > options.maxBufferedBytes()) {
      failureDetail = "response exceeds %d bytes".formatted(options.maxBufferedBytes());
      fail(Fault.TOO_LARGE);
    } else {
      bufferedData.add(data);
    }
  }

  @Override
  public void onEnd(EndpointUsage usage) {
    if (ended) {
      return;
    }
    ended = true;
    tracker.onFinished(result(true, false, false));
    listener.onResponse(this, usage);
  }

  @Override
  public void onFailure(CallFailure failure, String detail) {
    if (ended) {
      return;
    }
    failureDetail = detail;
    if (failure == CallFailure.NOT_SENT) {
      tracker.onConnectFailure();
    } else if (failure == CallFailure.WITHDRAWN) {
      finish(result(false, false, true));
      listener.onFault(this, Fault.NOT_SENT);
      return;
    } else if (failure != CallFailure.MALFORMED) {
      tracker.onBroken();
    }
    fail(
        switch (failure) {
          case NOT_SENT, WITHDRAWN -> Fault.NOT_SENT;
          case BROKEN -> Fault.BROKEN;
          case TRUNCATED -> Fault.TRUNCATED;
          case MALFORMED -> Fault.TOO_LARGE;
        });
  }

  private void fail(Fault fault) {
    endpointSilentMs = tracker.endpointSilentMs();
    finish(result(false, fault == Fault.SILENT && isUnheard(), fault == Fault.NOT_RUN));
    listener.onFault(this, fault);
  }

  /** Returns whether the endpoint is silent, and not only late with the end of its response. */
  private boolean isUnheard() {
    return !hasResponseHead() || silentMs() >= MIN_UNHEARD_MS;
  }

  private void finish(CallResult result) {
    ended = true;
    if (call != null) {
      call.cancel();
    }
    tracker.onFinished(result);
  }

  private CallResult result(boolean ok, boolean timedOut, boolean declined) {
    return new CallResult(ok, timedOut, firstByteMs, clock.nowMs() - startedMs, declined);
  }
}
