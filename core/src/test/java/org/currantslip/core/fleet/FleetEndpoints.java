package org.currantslip.core.fleet;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointHead;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointRequest;
import org.currantslip.core.request.EndpointUsage;
import org.currantslip.schema.EndpointRecord;

/** Endpoints that count what they run, and can fail in each way of the brief. */
final class FleetEndpoints {
  /** What goes wrong with the answers from now on. */
  enum Fault {
    NONE,
    /** The connection breaks before the request has run. */
    BROKEN_BEFORE_RUN,
    /** The request runs and the connection breaks. */
    BROKEN_AFTER_RUN,
    /** The request runs and no answer ever comes. */
    SILENT,
    /** The request runs and the answer to another request comes back. */
    CROSSED,
    /** The request runs and its answer ends early. */
    TRUNCATED,
    /** The request runs and its answer comes after every bound but the last. */
    LATE,
    /** No connection is accepted. */
    REFUSED
  }

  static final String SERVICE = "ledger";
  static final String MODEL = "quote-small";
  static final String VERSION = "v1";
  private static final int EACH = 3;
  private static final long WIRE_MS = 1;
  private static final long RUN_MS = 10;
  private static final long ANSWER_MS = 20;
  private static final long LATE_MS = 4_000;

  /** One call as the endpoint sees it. */
  final class Call implements EndpointCall {
    final FleetNode node;
    final EndpointRequest request;
    final boolean service;
    private final EndpointListener listener;
    boolean arrived;
    boolean ran;
    boolean answered;
    boolean cancelled;

    private Call(
        FleetNode node, EndpointRequest request, boolean service, EndpointListener listener) {
      this.node = node;
      this.request = request;
      this.service = service;
      this.listener = listener;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    private void arrive() {
      arrived = true;
      if (fault == Fault.REFUSED) {
        fail(CallFailure.NOT_SENT);
      } else {
        events.after(RUN_MS, this::run);
      }
    }

    private void run() {
      if (fault == Fault.BROKEN_BEFORE_RUN) {
        fail(CallFailure.BROKEN);
        return;
      }
      ran = true;
      if (service) {
        runs.merge(request.idempotencyKey(), 1, Integer::sum);
      }
      events.after(ANSWER_MS, this::reply);
    }

    private void reply() {
      switch (fault) {
        case BROKEN_AFTER_RUN -> fail(CallFailure.BROKEN);
        case SILENT -> {}
        case CROSSED ->
            deliver(() -> listener.onHead(EndpointHead.of(200, "application/json", "other")));
        case TRUNCATED -> {
          deliver(
              () ->
                  listener.onHead(EndpointHead.of(200, "application/json", request.correlation())));
          fail(CallFailure.TRUNCATED);
        }
        case LATE -> events.after(LATE_MS, this::answer);
        default -> answer();
      }
    }

    private void answer() {
      answered = true;
      deliver(
          () -> {
            listener.onHead(EndpointHead.of(200, "application/json", request.correlation()));
            listener.onData(ByteString.copyFromUtf8(answerTo(request)));
            listener.onEnd(new EndpointUsage(10, 20, OptionalDouble.of(0.9)));
          });
    }

    private void fail(CallFailure failure) {
      deliver(() -> listener.onFailure(failure, fault.toString()));
    }

    private void deliver(Runnable action) {
      events.after(WIRE_MS, () -> node.onNode(action));
    }
  }

  final List<Call> calls = new ArrayList<>();
  final Map<String, Integer> runs = new TreeMap<>();
  private final FakeEvents events;
  private Fault fault = Fault.NONE;

  FleetEndpoints(FakeEvents events) {
    this.events = events;
  }

  void setFault(Fault next) {
    fault = next;
  }

  static String answerTo(EndpointRequest request) {
    return "answer to " + request.body().toStringUtf8();
  }

  int runsOf(String key) {
    return runs.getOrDefault(key, 0);
  }

  EndpointCall start(
      FleetNode node, EndpointRecord endpoint, EndpointRequest request, EndpointListener listener) {
    Call call = new Call(node, request, !endpoint.getService().isEmpty(), listener);
    calls.add(call);
    events.after(WIRE_MS, call::arrive);
    return call;
  }

  List<EndpointRecord> records() {
    return IntStream.range(0, EACH)
        .boxed()
        .flatMap(
            i ->
                List.of(
                    record("app-" + i).setService(SERVICE).build(),
                    record("engine-" + i).setModel(MODEL).setVersion(VERSION).build())
                    .stream())
        .toList();
  }

  private static EndpointRecord.Builder record(String id) {
    return EndpointRecord.newBuilder().setId(id).setAddress(id).setFailureDomain("fd").setSlots(8);
  }
}
