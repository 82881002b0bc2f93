package org.currantslip.standin.contract;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.currantslip.adapter.endpoint.EndpointTimeouts;
import org.currantslip.adapter.endpoint.HttpEndpointClient;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointClient;
import org.currantslip.core.request.EndpointRequest;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.standin.demo.Waiting;
import org.currantslip.standin.engine.ModelEngine;
import org.currantslip.standin.service.PlainService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class EndpointCallsContractTest {
  private static final EndpointTimeouts PATIENT = new EndpointTimeouts(20_000, 20_000);
  private static final EndpointTimeouts HASTY = new EndpointTimeouts(500, 500);
  private static final long MAX_BYTES = 1 << 20;
  private static final long WAIT_MS = 20_000;
  private static final int CALLS_IN_A_ROW = 100;

  private Bench bench;
  private int enginePort;
  private int servicePort;

  @BeforeEach
  void start() {
    bench = new Bench();
    enginePort =
        bench.add(
            ModelEngine.create(
                Bench.engineOptions(true, 5), System::currentTimeMillis, bench.server.delays()));
    servicePort = bench.add(PlainService.create("s1"));
  }

  @AfterEach
  void stop() throws InterruptedException {
    bench.close();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void wholeAnswer(boolean stream) {
    RecordedEvents events = run(PATIENT, chat("auto", stream));
    assertThat(events.over.join()).isEqualTo("END");
    assertThat(events.status).isEqualTo(200);
    assertThat(events.correlation).isEqualTo("c-1");
    assertThat(events.usage.completionTokens()).isEqualTo(8);
    assertThat(events.usage.promptTokens()).isGreaterThan(0L);
    assertThat(events.usage.confidence()).isNotEqualTo(OptionalDouble.empty());
    assertThat(events.data).hasSize(stream ? 8 : 1);
    assertThat(events.data.get(0)).contains("[how wet]");
    assertThat(events.heads).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{'refuse':true} | BROKEN | BROKEN",
        "{'silent_after_accept':true} | BROKEN | BROKEN",
        "{'lose_answer_after_effect':true} | BROKEN | END",
        "{'late_ms':60000} | BROKEN | END",
        "{'slow_ms':60000} | BROKEN | BROKEN",
        "{'truncate':true} | TRUNCATED | TRUNCATED",
        "{'freeze':true} | BROKEN | BROKEN",
        "{'crossed':true} | END | END",
        "{'down':true} | END | END",
        "{'error_share':1} | END | END",
      })
  void fault(String faults, String whole, String streamed) {
    bench.setFaults(enginePort, faults.replace('\'', '"'));
    RecordedEvents wholeEvents = run(timeouts(whole), chat("m", false));
    assertThat(wholeEvents.over.join()).isEqualTo(whole);
    RecordedEvents streamEvents = run(timeouts(streamed), chat("m", true));
    assertThat(streamEvents.over.join()).isEqualTo(streamed);
    boolean crossed = faults.contains("crossed");
    assertThat(streamEvents.correlation.equals("c-1"))
        .isNotEqualTo(crossed || streamEvents.status != 200);
    boolean refused = faults.contains("down") || faults.contains("error");
    assertThat(wholeEvents.status >= 500).isEqualTo(refused);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void closedPortIsNotSent(boolean fresh) throws Exception {
    EndpointRecord nobody = Bench.engine(Bench.closedPort());
    RecordedEvents events = new RecordedEvents();
    calls(PATIENT, MAX_BYTES).start(nobody, request("POST", "/x", "m", true, fresh), events);
    assertThat(events.over.join()).isEqualTo("NOT_SENT");
    assertThat(events.heads).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void answerOverTheBoundIsMalformed(boolean stream) {
    RecordedEvents events = new RecordedEvents();
    calls(PATIENT, 100).start(Bench.engine(enginePort), chat("m", stream), events);
    assertThat(events.over.join()).isEqualTo("MALFORMED");
  }

  @Test
  void cancelEndsTheEnginesWorkAndNoEventFollows() {
    int slow =
        bench.add(
            ModelEngine.create(
                Bench.engineOptions(true, 300), System::currentTimeMillis, bench.server.delays()));
    RecordedEvents events = new RecordedEvents();
    EndpointCall call =
        calls(PATIENT, MAX_BYTES).start(Bench.engine(slow), chat("m", true), events);
    events.firstData.join();
    CompletableFuture.runAsync(call::cancel, bench.decisions).join();
    boolean cancelled =
        Waiting.until(
            WAIT_MS,
            () -> bench.control(slow, "GET", "/stats", "").json().path("cancelled").asInt() == 1);
    assertThat(cancelled).isTrue();
    assertThat(events.ends).isEqualTo(0);
  }

  @Test
  void freshConnectionIsNeverPooled() {
    int first = clientPort(false);
    assertThat(clientPort(false)).isEqualTo(first);
    int fresh = clientPort(true);
    assertThat(fresh).isNotEqualTo(first);
    assertThat(clientPort(true)).isNotEqualTo(fresh);
    assertThat(clientPort(false)).isEqualTo(first);
    assertThat(bench.http.getDestinations()).hasSize(1);
  }

  @Test
  void serviceGetsKeyAndBodyAsSent() {
    RecordedEvents events = new RecordedEvents();
    calls(PATIENT, MAX_BYTES).start(app(), service(false), events);
    assertThat(events.over.join()).isEqualTo("END");
    assertThat(events.data).hasSize(1);
    assertThat(events.data.get(0)).contains("\"key\":\"1-k\"");
    assertThat(events.correlation).isEqualTo("c-1");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void manyAnswersOverPooledConnections(boolean stream) {
    int instant =
        bench.add(
            ModelEngine.create(
                Bench.engineOptions(true, 0), System::currentTimeMillis, bench.server.delays()));
    EndpointClient endpointClient = calls(PATIENT, MAX_BYTES);
    for (int i = 0; i < CALLS_IN_A_ROW; i++) {
      RecordedEvents events = new RecordedEvents();
      endpointClient.start(Bench.engine(instant), chat("m", stream), events);
      assertThat(events.over.orTimeout(WAIT_MS, TimeUnit.MILLISECONDS).join()).isEqualTo("END");
      assertThat(events.data).hasSize(stream ? 8 : 1);
    }
  }

  /** Only a case that has to end by a timeout gets a short one. */
  private static EndpointTimeouts timeouts(String expected) {
    return expected.equals("BROKEN") ? HASTY : PATIENT;
  }

  private int clientPort(boolean fresh) {
    RecordedEvents events = new RecordedEvents();
    calls(PATIENT, MAX_BYTES).start(app(), service(fresh), events);
    assertThat(events.over.join()).isEqualTo("END");
    String body = events.data.get(0);
    String after = body.substring(body.indexOf("client_port\":") + "client_port\":".length());
    return Integer.parseInt(after.replaceAll("[^0-9].*", ""));
  }

  private RecordedEvents run(EndpointTimeouts timeouts, EndpointRequest request) {
    RecordedEvents events = new RecordedEvents();
    calls(timeouts, MAX_BYTES).start(Bench.engine(enginePort), request, events);
    return events;
  }

  private EndpointClient calls(EndpointTimeouts timeouts, long maxBytes) {
    return HttpEndpointClient.create(bench.http, bench.decisions, timeouts, maxBytes);
  }

  private EndpointRecord app() {
    return EndpointRecord.newBuilder()
        .setId("s1")
        .setAddress(Bench.HOST + ":" + servicePort)
        .setService("record")
        .build();
  }

  private static EndpointRequest service(boolean fresh) {
    return request("POST", "/sign-offs", "", false, fresh);
  }

  private static EndpointRequest chat(String bodyModel, boolean stream) {
    return new EndpointRequest(
        "c-1",
        "POST",
        "/v1/chat/completions",
        "application/json",
        ByteString.copyFromUtf8(
            """
            {"model":"%s","stream":%s,"messages":[{"role":"user","content":"how wet"}]}"""
                .formatted(bodyModel, stream)),
        "m",
        "v1",
        stream,
        5,
        "",
        false);
  }

  private static EndpointRequest request(
      String method, String path, String model, boolean stream, boolean fresh) {
    ByteString body = ByteString.copyFromUtf8("{}");
    return new EndpointRequest(
        "c-1", method, path, "application/json", body, model, "", stream, 5, "1-k", fresh);
  }
}
