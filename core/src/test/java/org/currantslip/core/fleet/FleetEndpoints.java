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
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointRequest;
import org.currantslip.core.request.EndpointResponseHead;
import org.currantslip.core.request.EndpointUsage;
import org.currantslip.schema.EndpointRecord;

/** Fake endpoints that count executions and support several failure modes. */
final class FleetEndpoints {
  /** The failure mode of all endpoints. */
  enum Fault {
    NONE,
    /** The connection breaks before the request runs. */
    BROKEN_BEFORE_RUN,
    /** The request runs, then the connection breaks. */
    BROKEN_AFTER_RUN,
    /** The request runs but is never answered. */
    SILENT,
    /** The request runs but the answer belongs to another request. */
    CROSSED,
    /** The request runs but its answer is truncated. */
    TRUNCATED,
    /** The request runs but its answer arrives after all timeouts except the request deadline. */
    LATE,
    /** Connections are refused. */
    REFUSED
  }

  static final String SERVICE = "ledger";
  static final String MODEL = "quote-small";
  static final String VERSION = "v1";
  private static final int ENDPOINTS_PER_KIND = 3;
  private static final long NETWORK_LATENCY_MS = 1;
  private static final long RUN_MS = 10;
  private static final long ANSWER_MS = 20;
  private static final long LATE_ANSWER_MS = 4_000;

  /** One call received by an endpoint. */
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
            deliver(
                () -> listener.onHead(EndpointResponseHead.of(200, "application/json", "other")));
        case TRUNCATED -> {
          deliver(
              () ->
                  listener.onHead(
                      EndpointResponseHead.of(200, "application/json", request.correlation())));
          fail(CallFailure.TRUNCATED);
        }
        case LATE -> events.after(LATE_ANSWER_MS, this::answer);
        default -> answer();
      }
    }

    private void answer() {
      answered = true;
      deliver(
          () -> {
            listener.onHead(
                EndpointResponseHead.of(200, "application/json", request.correlation()));
            listener.onData(ByteString.copyFromUtf8(answerBody(request)));
            listener.onEnd(new EndpointUsage(10, 20, OptionalDouble.of(0.9)));
          });
    }

    private void fail(CallFailure failure) {
      deliver(() -> listener.onFailure(failure, fault.toString()));
    }

    private void deliver(Runnable action) {
      events.after(NETWORK_LATENCY_MS, () -> node.runOnNode(action));
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

  static String answerBody(EndpointRequest request) {
    return "answer to " + request.body().toStringUtf8();
  }

  int runCount(String key) {
    return runs.getOrDefault(key, 0);
  }

  EndpointCall start(
      FleetNode node, EndpointRecord endpoint, EndpointRequest request, EndpointListener listener) {
    Call call = new Call(node, request, !endpoint.getService().isEmpty(), listener);
    calls.add(call);
    events.after(NETWORK_LATENCY_MS, call::arrive);
    return call;
  }

  List<EndpointRecord> records() {
    return IntStream.range(0, ENDPOINTS_PER_KIND)
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
