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
  private static final EndpointTimeouts LONG_TIMEOUTS = new EndpointTimeouts(20_000, 20_000);
  private static final EndpointTimeouts SHORT_TIMEOUTS = new EndpointTimeouts(500, 500);
  private static final long MAX_BYTES = 1 << 20;
  private static final long WAIT_MS = 20_000;
  private static final int CALLS_IN_A_ROW = 100;

  private ContractFixture fixture;
  private int enginePort;
  private int servicePort;

  @BeforeEach
  void start() {
    fixture = new ContractFixture();
    enginePort =
        fixture.add(
            ModelEngine.create(
                ContractFixture.engineOptions(true, 5),
                System::currentTimeMillis,
                fixture.server.delays()));
    servicePort = fixture.add(PlainService.create("s1"));
  }

  @AfterEach
  void stop() throws InterruptedException {
    fixture.close();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void completeAnswer(boolean stream) {
    RecordedEvents events = run(LONG_TIMEOUTS, chat("auto", stream));
    assertThat(events.outcome.join()).isEqualTo("END");
    assertThat(events.status).isEqualTo(200);
    assertThat(events.correlation).isEqualTo("c-1");
    assertThat(events.usage.completionTokens()).isEqualTo(8);
    assertThat(events.usage.promptTokens()).isGreaterThan(0L);
    assertThat(events.usage.confidence()).isNotEqualTo(OptionalDouble.empty());
    assertThat(events.data).hasSize(stream ? 8 : 1);
    assertThat(events.data.get(0)).contains("[how wet]");
    assertThat(events.headCount).isEqualTo(1);
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
  void fault(String faults, String buffered, String streamed) {
    fixture.setFaults(enginePort, faults.replace('\'', '"'));
    RecordedEvents bufferedEvents = run(timeouts(buffered), chat("m", false));
    assertThat(bufferedEvents.outcome.join()).isEqualTo(buffered);
    RecordedEvents streamEvents = run(timeouts(streamed), chat("m", true));
    assertThat(streamEvents.outcome.join()).isEqualTo(streamed);
    boolean crossed = faults.contains("crossed");
    assertThat(streamEvents.correlation.equals("c-1"))
        .isNotEqualTo(crossed || streamEvents.status != 200);
    boolean refused = faults.contains("down") || faults.contains("error");
    assertThat(bufferedEvents.status >= 500).isEqualTo(refused);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void closedPortIsNotSent(boolean fresh) throws Exception {
    EndpointRecord unreachable = ContractFixture.engine(ContractFixture.closedPort());
    RecordedEvents events = new RecordedEvents();
    calls(LONG_TIMEOUTS, MAX_BYTES)
        .start(unreachable, request("POST", "/x", "m", true, fresh), events);
    assertThat(events.outcome.join()).isEqualTo("NOT_SENT");
    assertThat(events.headCount).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void answerOverTheSizeLimitIsMalformed(boolean stream) {
    RecordedEvents events = new RecordedEvents();
    calls(LONG_TIMEOUTS, 100).start(ContractFixture.engine(enginePort), chat("m", stream), events);
    assertThat(events.outcome.join()).isEqualTo("MALFORMED");
  }

  @Test
  void cancelStopsGenerationAndSuppressesEvents() {
    int slow =
        fixture.add(
            ModelEngine.create(
                ContractFixture.engineOptions(true, 300),
                System::currentTimeMillis,
                fixture.server.delays()));
    RecordedEvents events = new RecordedEvents();
    EndpointCall call =
        calls(LONG_TIMEOUTS, MAX_BYTES)
            .start(ContractFixture.engine(slow), chat("m", true), events);
    events.firstData.join();
    CompletableFuture.runAsync(call::cancel, fixture.executor).join();
    boolean cancelled =
        Waiting.until(
            WAIT_MS,
            () -> fixture.control(slow, "GET", "/stats", "").json().path("cancelled").asInt() == 1);
    assertThat(cancelled).isTrue();
    assertThat(events.endCount).isEqualTo(0);
  }

  @Test
  void freshConnectionIsNotPooled() {
    int first = clientPort(false);
    assertThat(clientPort(false)).isEqualTo(first);
    int fresh = clientPort(true);
    assertThat(fresh).isNotEqualTo(first);
    assertThat(clientPort(true)).isNotEqualTo(fresh);
    assertThat(clientPort(false)).isEqualTo(first);
    assertThat(fixture.http.getDestinations()).hasSize(1);
  }

  @Test
  void serviceGetsKeyAndBodyAsSent() {
    RecordedEvents events = new RecordedEvents();
    calls(LONG_TIMEOUTS, MAX_BYTES).start(serviceEndpoint(), service(false), events);
    assertThat(events.outcome.join()).isEqualTo("END");
    assertThat(events.data).hasSize(1);
    assertThat(events.data.get(0)).contains("\"key\":\"1-k\"");
    assertThat(events.correlation).isEqualTo("c-1");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void manyAnswersOverPooledConnections(boolean stream) {
    int instant =
        fixture.add(
            ModelEngine.create(
                ContractFixture.engineOptions(true, 0),
                System::currentTimeMillis,
                fixture.server.delays()));
    EndpointClient calls = calls(LONG_TIMEOUTS, MAX_BYTES);
    for (int i = 0; i < CALLS_IN_A_ROW; i++) {
      RecordedEvents events = new RecordedEvents();
      calls.start(ContractFixture.engine(instant), chat("m", stream), events);
      assertThat(events.outcome.orTimeout(WAIT_MS, TimeUnit.MILLISECONDS).join()).isEqualTo("END");
      assertThat(events.data).hasSize(stream ? 8 : 1);
    }
  }

  /** Returns short timeouts only for cases that are expected to time out. */
  private static EndpointTimeouts timeouts(String expected) {
    return expected.equals("BROKEN") ? SHORT_TIMEOUTS : LONG_TIMEOUTS;
  }

  private int clientPort(boolean fresh) {
    RecordedEvents events = new RecordedEvents();
    calls(LONG_TIMEOUTS, MAX_BYTES).start(serviceEndpoint(), service(fresh), events);
    assertThat(events.outcome.join()).isEqualTo("END");
    String body = events.data.get(0);
    String after = body.substring(body.indexOf("client_port\":") + "client_port\":".length());
    return Integer.parseInt(after.replaceAll("[^0-9].*", ""));
  }

  private RecordedEvents run(EndpointTimeouts timeouts, EndpointRequest request) {
    RecordedEvents events = new RecordedEvents();
    calls(timeouts, MAX_BYTES).start(ContractFixture.engine(enginePort), request, events);
    return events;
  }

  private EndpointClient calls(EndpointTimeouts timeouts, long maxBytes) {
    return HttpEndpointClient.create(fixture.http, fixture.executor, timeouts, maxBytes);
  }

  private EndpointRecord serviceEndpoint() {
    return EndpointRecord.newBuilder()
        .setId("s1")
        .setAddress(ContractFixture.HOST + ":" + servicePort)
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
