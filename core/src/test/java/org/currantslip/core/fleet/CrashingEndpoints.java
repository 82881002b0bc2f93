package org.currantslip.core.fleet;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointRequest;
import org.currantslip.core.request.EndpointResponseHead;
import org.currantslip.core.request.EndpointUsage;
import org.currantslip.core.request.ForwardedCall;
import org.currantslip.schema.EndpointRecord;

/**
 * Fake endpoints of one service that crash when they begin to answer a request with a certain part.
 *
 * <p>A crash breaks all calls at the endpoint. It restarts after a delay as a new instance.
 */
final class CrashingEndpoints {
  static final String SERVICE = "generate";
  static final String VERSION = "v1";
  static final int EVENTS = 8;
  private static final long NETWORK_LATENCY_MS = 1;
  private static final long PREFILL_MS = 60;
  private static final long EVENT_INTERVAL_MS = 25;

  /** A request that reached an endpoint. */
  record Arrival(String requestId, long atMs) {}

  final List<Arrival> arrivals = new ArrayList<>();
  final List<Long> crashTimesMs = new ArrayList<>();
  final List<Arrival> crashes = new ArrayList<>();

  /** Events of a response that an endpoint sends before it crashes. */
  int eventsBeforeCrash;

  private final FakeEvents events;
  private final ForwardingFleet.Setup setup;
  private final Predicate<String> isCrashing;
  private final Runnable onChange;
  private final List<Endpoint> endpoints;

  /**
   * Creates running endpoints.
   *
   * @param isCrashing returns whether the request with this id crashes an endpoint
   * @param onChange called when an endpoint has restarted
   */
  CrashingEndpoints(
      FakeEvents events,
      ForwardingFleet.Setup setup,
      Predicate<String> isCrashing,
      Runnable onChange) {
    this.events = events;
    this.setup = setup;
    this.isCrashing = isCrashing;
    this.onChange = onChange;
    endpoints = IntStream.range(0, setup.endpoints()).mapToObj(Endpoint::new).toList();
  }

  List<EndpointRecord> records() {
    return endpoints.stream().map(Endpoint::toRecord).toList();
  }

  EndpointCall start(EndpointRecord target, EndpointRequest request, EndpointListener listener) {
    Call call = new Call(request, listener);
    events.after(NETWORK_LATENCY_MS, () -> arrive(target, call));
    return call;
  }

  /** Crashes an endpoint for a reason other than its requests. */
  void crash(int number) {
    if (endpoints.get(number).up) {
      endpoints.get(number).crash();
    }
  }

  private void arrive(EndpointRecord target, Call call) {
    if (call.cancelled) {
      return;
    }
    endpoints.stream()
        .filter(e -> e.up && e.id().equals(target.getId()))
        .findFirst()
        .ifPresentOrElse(e -> e.accept(call), () -> call.fail(CallFailure.NOT_SENT));
  }

  private final class Endpoint {
    private final int number;
    private final Set<Call> calls = new LinkedHashSet<>();
    private int instance;
    private long startedMs = events.clock().nowMs();
    private boolean up = true;

    private Endpoint(int number) {
      this.number = number;
    }

    private String id() {
      return "e" + number + "-" + instance;
    }

    private EndpointRecord toRecord() {
      return EndpointRecord.newBuilder()
          .setId(id())
          .setAddress("10.0.0." + number)
          .setService(SERVICE)
          .setVersion(VERSION)
          .setFailureDomain("fd")
          .setSlots(setup.slots())
          .setStartedMs(startedMs)
          .build();
    }

    private void accept(Call call) {
      arrivals.add(new Arrival(call.request.correlation(), events.clock().nowMs()));
      calls.add(call);
      call.endpoint = this;
      events.after(PREFILL_MS, () -> begin(call));
    }

    private void begin(Call call) {
      if (!calls.contains(call)) {
        return;
      }
      call.headSent = true;
      call.deliver(
          () ->
              call.listener.onHead(
                  EndpointResponseHead.of(200, "text/event-stream", call.request.correlation())));
      writeEvent(call, call.firstEvent());
    }

    private void writeEvent(Call call, int number) {
      if (!calls.contains(call)) {
        return;
      }
      if (number > eventsBeforeCrash && isCrashing.test(call.request.correlation())) {
        crashes.add(new Arrival(call.request.correlation(), events.clock().nowMs()));
        crash();
        return;
      }
      call.deliver(
          () ->
              call.listener.onData(
                  ByteString.copyFromUtf8("id: %d\ndata: x\n\n".formatted(number))));
      if (number < EVENTS) {
        events.after(EVENT_INTERVAL_MS, () -> writeEvent(call, number + 1));
      } else {
        calls.remove(call);
        call.deliver(() -> call.listener.onEnd(EndpointUsage.none()));
      }
    }

    private void crash() {
      up = false;
      crashTimesMs.add(events.clock().nowMs());
      List<Call> broken = List.copyOf(calls);
      calls.clear();
      broken.forEach(c -> c.fail(c.headSent ? CallFailure.TRUNCATED : CallFailure.BROKEN));
      events.after(setup.restartMs(), this::restart);
    }

    private void restart() {
      up = true;
      instance++;
      startedMs = events.clock().nowMs();
      onChange.run();
    }
  }

  private final class Call implements EndpointCall {
    private final EndpointRequest request;
    private final EndpointListener listener;
    private Endpoint endpoint = endpoints.get(0);
    private boolean headSent;
    private boolean cancelled;

    private Call(EndpointRequest request, EndpointListener listener) {
      this.request = request;
      this.listener = listener;
    }

    private int firstEvent() {
      ForwardedCall forwarded = request.forwarded();
      String last = forwarded == null ? "" : forwarded.lastEventId();
      return last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    }

    private void fail(CallFailure failure) {
      deliver(() -> listener.onFailure(failure, "connection reset"));
    }

    private void deliver(Runnable action) {
      events.after(NETWORK_LATENCY_MS, action);
    }

    @Override
    public void cancel() {
      cancelled = true;
      endpoint.calls.remove(this);
    }
  }
}
