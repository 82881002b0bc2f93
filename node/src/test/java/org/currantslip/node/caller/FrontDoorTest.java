package org.currantslip.node.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.base.Splitter;
import com.google.common.util.concurrent.Uninterruptibles;
import com.google.protobuf.ByteString;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.ledger.LedgerKey;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.schema.AccountSettings;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FrontDoorTest {
  private static final String TOKEN = "token-of-the-survey-crew";
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String BODY =
      "{\"model\":\"auto\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
  private static final int MAX_BODY_BYTES = 4_096;
  private static final long MAX_TOTAL_BODY_BYTES = 3 * MAX_BODY_BYTES;
  private static final long HEADER_TIMEOUT_MS = 400;
  private static final long BODY_TIMEOUT_MS = 800;
  private static final long SHORT_IDLE_TIMEOUT_MS = 3_000;
  private static final int BYTE_INTERVAL_MS = 20;
  private static final int SMALL_EVENT_COUNT = 1_500;
  private static final int SHORT_DEADLINE_MS = 300;
  private static final long RESPONSE_TIMEOUT_S = 5;

  private record StartedRequest(
      RouterRequest request, CallerSink sink, CountDownLatch disconnected) {}

  private final BlockingQueue<StartedRequest> startedRequests = new LinkedBlockingQueue<>();
  private final DecisionThread decisions = DecisionThread.create(System::currentTimeMillis);
  private final HttpClient client = new HttpClient();
  private final AtomicInteger falseDisconnects = new AtomicInteger();
  private volatile boolean respondImmediately;
  private volatile EntryView entryView = EntryView.empty();
  private FrontDoor server;

  @BeforeEach
  void open() throws Exception {
    CallerOptions options =
        new CallerOptions(
            "127.0.0.1",
            0,
            MAX_BODY_BYTES,
            MAX_TOTAL_BODY_BYTES,
            2_048,
            64,
            8,
            1 << 16,
            HEADER_TIMEOUT_MS,
            BODY_TIMEOUT_MS,
            30_000,
            60_000,
            5_000,
            500,
            "record"::equals);
    AccountSettings account = AccountSettings.newBuilder().setName("crew").setToken(TOKEN).build();
    server =
        FrontDoor.create(
            options,
            AccountTokens.of(List.of(account)),
            System::currentTimeMillis,
            decisions,
            this::start,
            () -> "n1.1.1",
            () -> entryView);
    decisions.start();
    server.start();
    client.start();
  }

  @AfterEach
  void close() throws Exception {
    client.stop();
    server.stop();
    decisions.stop();
  }

  private Runnable start(RouterRequest request, CallerSink sink) {
    if (respondImmediately) {
      ResponseHead head = head(ResultCode.OK, false);
      sink.head(head);
      sink.data(ByteString.copyFromUtf8("read"));
      sink.finish(head);
      return () -> falseDisconnects.incrementAndGet();
    }
    CountDownLatch disconnected = new CountDownLatch(1);
    startedRequests.add(new StartedRequest(request, sink, disconnected));
    return disconnected::countDown;
  }

  private Request request(String method, String path, String headers, String body) {
    Request request =
        client
            .newRequest("http://127.0.0.1:" + server.port() + path)
            .method(method)
            .body(new StringRequestContent("application/json", body));
    Splitter.on('|')
        .omitEmptyStrings()
        .withKeyValueSeparator(':')
        .split(headers)
        .forEach((name, value) -> request.headers(h -> h.add(name, value)));
    return request;
  }

  @Test
  void respondsToAllBodylessRequestsOnOneConnection() throws Exception {
    respondImmediately = true;
    for (int i = 0; i < 2_000; i++) {
      ContentResponse response =
          client
              .newRequest("http://127.0.0.1:" + server.port() + "/services/record/readings/1")
              .method("GET")
              .headers(h -> h.add("Authorization", "Bearer " + TOKEN))
              .send();
      assertThat(response.getContentAsString()).isEqualTo("read");
    }
    assertThat(falseDisconnects.get()).isEqualTo(0);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      nullValues = "-",
      value = {
        "POST;/v1/chat/completions;;{};1001;no",
        "POST;/v1/chat/completions;Authorization:Bearer wrong;{};1001;no",
        "POST;/v1/chat/completions;Authorization:Basic " + TOKEN + ";{};1001;no",
        "POST;/v1/chat/completions;T;{;1003;no",
        "POST;/v1/chat/completions;T;[];1003;no",
        "POST;/v1/chat/completions;T;{\"model\":\"m\"};1003;no",
        "POST;/v1/chat/completions;T;{\"messages\":[1]};1003;no",
        "POST;/v1/chat/completions;T;{\"model\":\"m\",\"messages\":[1],\"stream\":3};1003;no",
        "POST;/v1/chat/completions;T;{\"model\":\"m\",\"messages\":[1],\"max_tokens\":0};1003;no",
        "POST;/v1/chat/completions;T|Idempotency-Key:abc;BODY;1006;unknown",
        "POST;/v1/chat/completions;T|Idempotency-Key:abc|Currantslip-Attempt:1;BODY;1006;no",
        "POST;/v1/chat/completions;T|Idempotency-Key:1-a|Currantslip-Attempt:2;{;1003;unknown",
        "POST;/v1/chat/completions;T|Currantslip-Attempt:0;BODY;1010;no",
        "POST;/v1/chat/completions;T|Currantslip-Attempt:x;BODY;1010;no",
        "POST;/v1/chat/completions;T|Currantslip-Priority:10;BODY;1010;no",
        "POST;/v1/chat/completions;T|Currantslip-Deadline-Ms:-1;BODY;1010;no",
        "POST;/v1/chat/completions;T|Currantslip-Deadline-Ms:0;BODY;1009;no",
        "POST;/v1/chat/completions;T|Currantslip-Session:a b;BODY;1010;no",
        "POST;/v1/chat/completions;T|Currantslip-Task:{};BODY;1010;no",
        "POST;/v1/chat/completions;T;HUGE;1004;no",
        "GET;/v1/chat/completions;T;;1013;no",
        "POST;/v1/entry;T;;1013;no",
        "GET;/v2/other;T;;1014;no",
        "POST;/services/unheard-of/x;T;{};1011;no",
      })
  void rejectsInvalidRequestsWithoutStartingThem(
      String method, String path, String headers, String body, int code, String ran)
      throws Exception {
    String sent =
        Stream.of(body == null ? "" : body)
            .map(b -> b.equals("BODY") ? BODY : b)
            .map(b -> b.equals("HUGE") ? "x".repeat(MAX_BODY_BYTES + 1) : b)
            .findFirst()
            .orElseThrow();
    String fields = headers == null ? "" : headers;
    if (fields.startsWith("T")) {
      fields = "Authorization:Bearer " + TOKEN + fields.substring(1);
    }

    ContentResponse response = request(method, path, fields, sent).send();

    assertThat(response.getHeaders().get("Currantslip-Code")).isEqualTo(String.valueOf(code));
    assertThat(response.getHeaders().get("Currantslip-Ran")).isEqualTo(ran);
    assertThat(response.getHeaders().get("Currantslip-Request-Id")).isEqualTo("n1.1.1");
    assertThat(response.getStatus())
        .isEqualTo(ResultCode.ofNumber(code).orElseThrow().httpStatus());
    assertThat(response.getContentAsString()).contains("\"code\":" + code);
    assertThat(startedRequests).isEmpty();
  }

  /** Occupies the decision thread until the latch is released. */
  private CountDownLatch occupyDecisionThread() throws InterruptedException {
    CountDownLatch occupied = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    decisions.execute(
        () -> {
          occupied.countDown();
          Uninterruptibles.awaitUninterruptibly(release);
        });
    occupied.await();
    return release;
  }

  private Request requestWithShortDeadline() {
    return request(
            "POST",
            CHAT_PATH,
            "Authorization:Bearer %s|Currantslip-Deadline-Ms:%d"
                .formatted(TOKEN, SHORT_DEADLINE_MS),
            BODY)
        .timeout(RESPONSE_TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Test
  void requestIsRefusedAtOnceWhileDecisionThreadIsBehind() throws Exception {
    CountDownLatch release = occupyDecisionThread();
    ContentResponse response;
    try {
      while (decisions.lagMs() <= CallerHandler.MAX_DECISION_LAG_MS) {
        Thread.onSpinWait();
      }
      response =
          request("POST", CHAT_PATH, "Authorization:Bearer " + TOKEN, BODY)
              .timeout(RESPONSE_TIMEOUT_S, TimeUnit.SECONDS)
              .send();
    } finally {
      release.countDown();
    }

    assertThat(response.getStatus()).isEqualTo(503);
    assertThat(response.getHeaders().get("Currantslip-Ran")).isEqualTo("no");
    assertThat(Integer.parseInt(response.getHeaders().get("Currantslip-Retry-After-Ms")))
        .isGreaterThan(0);
  }

  @Test
  void requestThatWaitsForBusyDecisionThreadIsRefusedAtItsDeadline() throws Exception {
    CountDownLatch release = occupyDecisionThread();
    ContentResponse response;
    try {
      response = requestWithShortDeadline().send();
    } finally {
      release.countDown();
    }
    CountDownLatch idle = new CountDownLatch(1);
    decisions.offerRequest(idle::countDown);
    idle.await();

    assertThat(response.getStatus()).isEqualTo(503);
    assertThat(response.getHeaders().get("Currantslip-Ran")).isEqualTo("no");
    assertThat(startedRequests).isEmpty();
  }

  @Test
  void requestThatHasBegunIsAnsweredAtItsDeadlineWhileDecisionThreadIsBusy() throws Exception {
    CompletableFuture<ContentResponse> pending =
        new CompletableResponseListener(requestWithShortDeadline()).send();
    StartedRequest started = startedRequests.take();
    CountDownLatch release = occupyDecisionThread();
    ContentResponse response;
    try {
      response = pending.get(RESPONSE_TIMEOUT_S, TimeUnit.SECONDS);
    } finally {
      release.countDown();
    }
    assertThat(started.disconnected().await(RESPONSE_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    started.sink().head(head(ResultCode.OK, true));
    started.sink().data(ByteString.copyFromUtf8("late"));
    started.sink().finish(head(ResultCode.OK, true));

    assertThat(response.getStatus()).isEqualTo(504);
    assertThat(response.getHeaders().get("Currantslip-Ran")).isEqualTo("unknown");
    assertThat(started.sink().isAbandoned()).isTrue();
  }

  @Test
  void callerThatLeavesIsNoticedWhileDecisionThreadIsBusy() throws Exception {
    StartedRequest started;
    CountDownLatch release;
    try (Socket socket = openChat(BODY)) {
      started = startedRequests.take();
      release = occupyDecisionThread();
      assertThat(socket.isConnected()).isTrue();
      assertThat(started.sink().isAbandoned()).isFalse();
    }
    long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(RESPONSE_TIMEOUT_S);
    while (!started.sink().isAbandoned() && System.nanoTime() < endNs) {
      Thread.onSpinWait();
    }
    boolean noticed = started.sink().isAbandoned();
    release.countDown();
    assertThat(noticed).isTrue();
  }

  @Test
  void reportsResultCodeForOversizedHeader() throws Exception {
    ContentResponse response =
        request("POST", CHAT_PATH, "X-Long:" + "y".repeat(4_000), BODY).send();

    assertThat(response.getStatus()).isEqualTo(431);
    assertThat(response.getHeaders().get("Currantslip-Code")).isEqualTo("1012");
  }

  @Test
  void passesFieldsOfAcceptedRequest() throws Exception {
    String headers =
        "Authorization:Bearer "
            + TOKEN
            + "|Idempotency-Key:17-ab|Currantslip-Attempt:1|Currantslip-Session:s1"
            + "|Currantslip-Task:report|Currantslip-Priority:7";
    CompletableFuture<ContentResponse> response =
        new CompletableResponseListener(
                request("POST", "/services/record/sign-offs?lane=2", headers, "{}"))
            .send();
    StartedRequest request = startedRequests.take();
    request.sink().head(head(ResultCode.OK, false));
    request.sink().data(ByteString.copyFromUtf8("{\"ok\":1}"));
    request.sink().finish(head(ResultCode.OK, false));

    RouterRequest actual = request.request();
    assertThat(actual.account()).isEqualTo("crew");
    assertThat(actual.service()).isEqualTo("record");
    assertThat(actual.path()).isEqualTo("/sign-offs?lane=2");
    assertThat(actual.idempotencyKey()).isEqualTo(new LedgerKey("crew", "17-ab", 17));
    assertThat(actual.firstAttempt()).isTrue();
    assertThat(actual.session()).isEqualTo("s1");
    assertThat(actual.task()).isEqualTo("report");
    assertThat(actual.priority()).isEqualTo(7);
    assertThat(response.get().getContentAsString()).isEqualTo("{\"ok\":1}");
    assertThat(response.get().getHeaders().get("Currantslip-Rule-Lines")).isEqualTo("4,9");
  }

  @Test
  void streamsEventsAndEndsWithResponseFields() throws Exception {
    CompletableFuture<ContentResponse> response =
        new CompletableResponseListener(
                request("POST", CHAT_PATH, "Authorization:Bearer " + TOKEN, BODY))
            .send();
    StartedRequest request = startedRequests.take();
    request.sink().head(head(ResultCode.OK, true));
    request.sink().data(ByteString.copyFromUtf8("{\"a\":1}"));
    request.sink().finish(head(ResultCode.OK, true));

    List<String> events =
        Splitter.on("\n\n").omitEmptyStrings().splitToList(response.get().getContentAsString());
    assertThat(events).hasSize(3);
    assertThat(events.get(0)).isEqualTo("data: {\"a\":1}");
    assertThat(events.get(1)).startsWith("event: currantslip\ndata: {\"code\":0");
    assertThat(events.get(1)).contains("\"rule_lines\":[4,9]");
    assertThat(events.get(2)).isEqualTo("data: [DONE]");
  }

  @Test
  void sendsAllSmallEventsToSlowReader() throws Exception {
    try (Socket socket = openChat(BODY)) {
      StartedRequest request = startedRequests.take();
      request.sink().head(head(ResultCode.OK, true));
      for (int i = 0; i < SMALL_EVENT_COUNT; i++) {
        request.sink().data(ByteString.copyFromUtf8("{\"i\":" + i + "}"));
      }
      request.sink().finish(head(ResultCode.OK, true));

      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      List<String> events =
          reader
              .lines()
              .filter(line -> line.startsWith("data: {\"i\"") || line.endsWith("[DONE]"))
              .limit(SMALL_EVENT_COUNT + 1)
              .toList();
      assertThat(events.get(SMALL_EVENT_COUNT - 1))
          .isEqualTo("data: {\"i\":" + (SMALL_EVENT_COUNT - 1) + "}");
      assertThat(events.get(SMALL_EVENT_COUNT)).isEqualTo("data: [DONE]");
    }
  }

  @Test
  void usesChunkedEncodingForStreamsOfLeavingNode() throws Exception {
    server.startLeaving();
    try (Socket socket = openChat(BODY)) {
      startedRequests.take().sink().head(head(ResultCode.OK, true));
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      List<String> fields = reader.lines().takeWhile(line -> !line.isEmpty()).toList();
      assertThat(fields).containsAtLeast("Connection: close", "Transfer-Encoding: chunked");
    }
  }

  @Test
  void endsFailedStreamsWithoutDone() throws Exception {
    CompletableFuture<ContentResponse> response =
        new CompletableResponseListener(
                request("POST", CHAT_PATH, "Authorization:Bearer " + TOKEN, BODY))
            .send();
    StartedRequest request = startedRequests.take();
    request.sink().head(head(ResultCode.OK, true));
    request.sink().finish(head(ResultCode.ANSWER_TRUNCATED, true));

    assertThat(response.get().getContentAsString()).contains("\"code\":5004");
    assertThat(response.get().getContentAsString()).doesNotContain("[DONE]");
  }

  @Test
  void respondsToPipelinedRequestsInOrder() throws Exception {
    try (Socket socket = openChat(BODY)) {
      StartedRequest first = startedRequests.take();
      write(socket, BODY);
      first.sink().finish(head(ResultCode.NO_ENDPOINT, false));
      StartedRequest second = startedRequests.take();
      second.sink().finish(head(ResultCode.RATE_LIMITED, false));

      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      List<String> codes =
          reader.lines().filter(l -> l.startsWith("Currantslip-Code")).limit(2).toList();
      assertThat(codes)
          .containsExactly("Currantslip-Code: 3005", "Currantslip-Code: 3001")
          .inOrder();
    }
  }

  @Test
  void servesEntriesOfLatestView() throws Exception {
    NodeRecord node =
        NodeRecord.newBuilder()
            .setId(NodeId.newBuilder().setName("entry-1"))
            .setCallerAddress("10.0.0.1:8080")
            .build();
    entryView = new EntryView(List.of(node), 3);

    ContentResponse response = client.GET("http://127.0.0.1:" + server.port() + "/v1/entry");

    assertThat(response.getContentAsString())
        .isEqualTo(
            "{\"nodes\":[{\"name\":\"entry-1\",\"address\":\"10.0.0.1:8080\"}],\"ttl_ms\":5000}");
  }

  @Test
  void rejectsRequestsWhileNodeDrains() throws Exception {
    server.refuseRequests();

    ContentResponse response =
        request("POST", CHAT_PATH, "Authorization:Bearer " + TOKEN, BODY).send();

    assertThat(response.getHeaders().get("Currantslip-Code")).isEqualTo("3008");
    assertThat(response.getHeaders().get("Currantslip-Ran")).isEqualTo("no");
  }

  private static ResponseHead head(ResultCode code, boolean stream) {
    return new ResponseHead(
        "n1.1.1",
        code,
        Ran.YES,
        200,
        "application/json",
        stream,
        "m",
        "v1",
        3,
        List.of(4, 9),
        0,
        "",
        false,
        false,
        "");
  }

  private Socket openChat(String body) throws IOException {
    Socket socket = new Socket("127.0.0.1", server.port());
    write(socket, body);
    return socket;
  }

  private static void write(Socket socket, String body) throws IOException {
    String head =
        "POST "
            + CHAT_PATH
            + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
            + TOKEN
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n";
    socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void rejectsBodiesOverBudgetUntilOthersComplete() throws Exception {
    String large = BODY.replace("hi", "h".repeat(MAX_BODY_BYTES - 100));
    try (Socket first = openChat(large);
        Socket second = openChat(large);
        Socket third = openChat(large)) {
      assertThat(third.isConnected() && second.isConnected() && first.isConnected()).isTrue();
      List<StartedRequest> inFlight =
          List.of(startedRequests.take(), startedRequests.take(), startedRequests.take());
      ContentResponse refused =
          request("POST", CHAT_PATH, "Authorization:Bearer " + TOKEN, large).send();
      assertThat(refused.getHeaders().get("Currantslip-Code")).isEqualTo("3007");
      assertThat(refused.getHeaders().get("Currantslip-Ran")).isEqualTo("no");

      inFlight.forEach(h -> h.sink().finish(head(ResultCode.NO_ENDPOINT, false)));
      CompletableFuture<ContentResponse> response = send(large);
      while (response.isDone() && code(response).equals("3007")) {
        response = send(large);
      }
      startedRequests.take().sink().finish(head(ResultCode.RATE_LIMITED, false));
      assertThat(code(response)).isEqualTo("3001");
    }
  }

  /** Guards against small bodies in chunks that each take the memory of the largest body. */
  @Test
  void bodiesInChunksTakeTheMemoryOfTheirBytes() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 8; i++) {
        Socket socket = new Socket("127.0.0.1", server.port());
        sockets.add(socket);
        writeInChunks(socket, BODY);
      }
      for (int i = 0; i < 8; i++) {
        assertThat(startedRequests.poll(RESPONSE_TIMEOUT_S, TimeUnit.SECONDS)).isNotNull();
      }
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Guards against bodies in chunks that together exceed the memory for bodies. */
  @Test
  void rejectsBodiesInChunksOverBudget() throws Exception {
    String large = BODY.replace("hi", "h".repeat(MAX_BODY_BYTES - 100));
    try (Socket first = openChat(large);
        Socket second = openChat(large);
        Socket third = openChat(large);
        Socket fourth = new Socket("127.0.0.1", server.port())) {
      assertThat(first.isConnected() && second.isConnected() && third.isConnected()).isTrue();
      for (int i = 0; i < 3; i++) {
        assertThat(startedRequests.poll(RESPONSE_TIMEOUT_S, TimeUnit.SECONDS)).isNotNull();
      }
      writeInChunks(fourth, large);
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(fourth.getInputStream(), StandardCharsets.UTF_8));
      assertThat(reader.readLine()).startsWith("HTTP/1.1 503 ");
      assertThat(startedRequests).isEmpty();
    }
  }

  private static void writeInChunks(Socket socket, String body) throws IOException {
    String head =
        "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n".formatted(CHAT_PATH, TOKEN)
            + "Transfer-Encoding: chunked\r\n\r\n";
    int half = body.length() / 2;
    String chunks =
        Stream.of(body.substring(0, half), body.substring(half), "")
            .map(c -> "%x\r\n%s\r\n".formatted(c.length(), c))
            .collect(Collectors.joining());
    socket.getOutputStream().write((head + chunks).getBytes(StandardCharsets.UTF_8));
  }

  private CompletableFuture<ContentResponse> send(String body) {
    return new CompletableResponseListener(
            request("POST", CHAT_PATH, "Authorization:Bearer " + TOKEN, body))
        .send();
  }

  private static String code(CompletableFuture<ContentResponse> response) {
    return String.valueOf(response.join().getHeaders().get("Currantslip-Code"));
  }

  @Test
  void reportsCallersThatDisconnectBeforeResponse() throws Exception {
    StartedRequest request;
    try (Socket socket = openChat(BODY)) {
      request = startedRequests.take();
      assertThat(socket.isConnected()).isTrue();
    }

    request.disconnected().await();

    assertThat(request.disconnected().getCount()).isEqualTo(0);
  }

  @Test
  void disconnectsCallersThatDoNotReadTheirStream() throws Exception {
    try (Socket socket = openChat(BODY)) {
      StartedRequest request = startedRequests.take();
      request.sink().head(head(ResultCode.OK, true));
      ByteString chunk = ByteString.copyFromUtf8("z".repeat(8_192));

      while (request.disconnected().getCount() > 0) {
        request.sink().data(chunk);
      }

      assertWithMessage("socket").that(socket.isConnected()).isTrue();
    }
  }

  /** Sends single bytes until the server closes the connection. */
  private static void sendSlowlyUntilClosed(Socket socket, char unit) throws IOException {
    socket.setSoTimeout(BYTE_INTERVAL_MS);
    while (true) {
      try {
        socket.getOutputStream().write(unit);
        if (socket.getInputStream().read() < 0) {
          return;
        }
      } catch (SocketTimeoutException e) {
        // The read timed out, so the connection is still open.
      } catch (SocketException e) {
        return;
      }
    }
  }

  @Test
  void closesConnectionsWithSlowHeader() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      socket
          .getOutputStream()
          .write("GET /v1/entry HTTP/1.1\r\nX: ".getBytes(StandardCharsets.UTF_8));

      sendSlowlyUntilClosed(socket, 'x');
    }
    assertThat(server.inFlight()).isEqualTo(0);
  }

  @Test
  void keepsConnectionThatListedEntryNodesForItsIdleTimeout() throws Exception {
    server.setIdleTimeout(SHORT_IDLE_TIMEOUT_MS);
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      final long startNs = System.nanoTime();
      socket
          .getOutputStream()
          .write("GET /v1/entry HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      while (socket.getInputStream().read() >= 0) {
        // Reads the response and then waits for the close.
      }

      assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs))
          .isAtLeast(SHORT_IDLE_TIMEOUT_MS);
    }
  }

  @Test
  void closesConnectionsWithSlowBody() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      String head =
          "POST "
              + CHAT_PATH
              + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
              + TOKEN
              + "\r\nContent-Length: 4000\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));

      sendSlowlyUntilClosed(socket, ' ');
    }
    assertThat(startedRequests).isEmpty();
  }
}
