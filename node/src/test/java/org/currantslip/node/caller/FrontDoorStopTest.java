package org.currantslip.node.caller;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import com.google.common.base.Strings;
import com.google.common.util.concurrent.Uninterruptibles;
import com.google.protobuf.ByteString;
import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.node.log.EventLog;
import org.currantslip.schema.AccountSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

/** Tests that no request is left without a response, above all while the server stops. */
@Timeout(60)
final class FrontDoorStopTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String HOST = "127.0.0.1";
  private static final String TOKEN = "token-of-the-survey-crew";
  private static final String BODY =
      "{\"model\":\"auto\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final long CLOSE_TIMEOUT_MS = 5_000;
  private static final long SHORT_IDLE_TIMEOUT_MS = 800;
  private static final long LONG_IDLE_TIMEOUT_MS = 3_000;
  private static final int CALLER_COUNT = 16;
  private static final int WARM_UP_ANSWERS = 500;

  private record StartedRequest(RouterRequest request, CallerSink sink) {}

  private final BlockingQueue<StartedRequest> startedRequests = new LinkedBlockingQueue<>();
  private final DecisionThread decisions = DecisionThread.create(System::currentTimeMillis);
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final AtomicInteger requestsRead = new AtomicInteger();
  private final AtomicInteger answersReceived = new AtomicInteger();
  private volatile Runnable onRequestRead = () -> {};
  private volatile CallerRequests requests = this::keep;
  private FrontDoor server;
  private int port;

  @BeforeEach
  void start() throws Exception {
    CallerOptions options =
        new CallerOptions(
            HOST,
            0,
            MAX_BODY_BYTES,
            4 * MAX_BODY_BYTES,
            8_192,
            256,
            64,
            1 << 16,
            30_000,
            30_000,
            30_000,
            60_000,
            5_000,
            CLOSE_TIMEOUT_MS,
            "record"::equals);
    AccountSettings account = AccountSettings.newBuilder().setName("crew").setToken(TOKEN).build();
    server =
        FrontDoor.create(
            options,
            AccountTokens.of(List.of(account)),
            System::currentTimeMillis,
            decisions,
            (request, sink) -> requests.start(request, sink),
            this::nextRequestId,
            EntryView::empty);
    decisions.start();
    server.start();
    port = server.port();
  }

  @AfterEach
  void close() throws Exception {
    server.stop();
    decisions.stop();
    executor.shutdownNow();
  }

  /** Called by the server for each request whose header it has read. */
  private String nextRequestId() {
    requestsRead.incrementAndGet();
    onRequestRead.run();
    return "n1.1.1";
  }

  private Runnable keep(RouterRequest request, CallerSink sink) {
    startedRequests.add(new StartedRequest(request, sink));
    return () -> {};
  }

  private static Runnable respond(RouterRequest request, CallerSink sink) {
    sink.head(head(ResultCode.OK, false));
    sink.data(ByteString.copyFromUtf8("read " + request.body().size()));
    sink.finish(head(ResultCode.OK, false));
    return () -> {};
  }

  private static ResponseHead head(ResultCode code, boolean stream) {
    return new ResponseHead(
        "n1.1.1",
        code,
        Ran.YES,
        200,
        "text/plain",
        stream,
        "m",
        "v1",
        3,
        List.of(),
        0,
        "",
        false,
        false,
        "");
  }

  private static void awaitCondition(BooleanSupplier condition) {
    long endNs = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(endNs);
      LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
    }
  }

  /** Starts to stop the server; its port is closed when this method returns. */
  private CompletableFuture<Void> stopServer() {
    CompletableFuture<Void> stopped =
        CompletableFuture.runAsync(
            () -> {
              try {
                server.stop();
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            },
            executor);
    awaitCondition(() -> !isListening());
    return stopped;
  }

  private boolean isListening() {
    try (Socket socket = new Socket(HOST, port)) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  private static byte[] requestHead(int bodyBytes) {
    return ("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
            + TOKEN
            + "\r\nContent-Length: "
            + bodyBytes
            + "\r\n\r\n")
        .getBytes(UTF_8);
  }

  private static void send(Socket socket, String body) throws IOException {
    socket.getOutputStream().write(requestHead(body.length()));
    socket.getOutputStream().write(body.getBytes(UTF_8));
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
  }

  /** Reads a response; returns its header, which is empty if the connection was closed before. */
  private static List<String> readResponse(BufferedReader reader) throws IOException {
    List<String> header = new ArrayList<>();
    String line = reader.readLine();
    while (line != null && !line.isEmpty()) {
      header.add(line);
      line = reader.readLine();
    }
    long length =
        header.stream()
            .filter(field -> field.startsWith("Content-Length: "))
            .mapToLong(field -> Long.parseLong(field.substring(field.indexOf(' ') + 1)))
            .sum();
    for (long i = 0; i < length; i++) {
      if (reader.read() < 0) {
        throw new EOFException("truncated body");
      }
    }
    return header;
  }

  /** Sends requests over kept connections until the server accepts no connection. */
  private void sendUntilStopped() {
    while (true) {
      try (Socket socket = new Socket(HOST, port)) {
        BufferedReader reader = reader(socket);
        boolean open = true;
        while (open) {
          send(socket, BODY);
          open = !readResponse(reader).isEmpty();
          if (open) {
            answersReceived.incrementAndGet();
          }
        }
      } catch (IOException e) {
        if (!isListening()) {
          return;
        }
      }
    }
  }

  @Test
  void answersAllRequestsReadFromKeptConnections() throws Exception {
    requests = FrontDoorStopTest::respond;
    final List<CompletableFuture<Void>> callers =
        IntStream.range(0, CALLER_COUNT)
            .mapToObj(i -> CompletableFuture.runAsync(this::sendUntilStopped, executor))
            .toList();
    awaitCondition(() -> answersReceived.get() >= WARM_UP_ANSWERS);
    server.refuseRequests();
    server.stop();
    callers.forEach(CompletableFuture::join);

    assertThat(answersReceived.get()).isEqualTo(requestsRead.get());
  }

  @Test
  void answersRequestThatIsBeingReadWhenServerStops() throws Exception {
    server.refuseRequests();
    CountDownLatch read = new CountDownLatch(1);
    CountDownLatch stopping = new CountDownLatch(1);
    onRequestRead =
        () -> {
          read.countDown();
          Uninterruptibles.awaitUninterruptibly(stopping);
        };
    try (Socket socket = new Socket(HOST, port)) {
      send(socket, BODY);
      read.await();
      final CompletableFuture<Void> stopped = stopServer();
      stopping.countDown();

      assertThat(readResponse(reader(socket))).contains("Currantslip-Code: 3008");
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
      socket.close();
      stopped.join();
    }
  }

  @Test
  void answersRequestInProgressWhenServerStops() throws Exception {
    try (Socket socket = new Socket(HOST, port)) {
      send(socket, BODY);
      CallerSink sink = startedRequests.take().sink();
      final CompletableFuture<Void> stopped = stopServer();
      sink.head(head(ResultCode.OK, false));
      sink.data(ByteString.copyFromUtf8("late"));
      sink.finish(head(ResultCode.OK, false));

      BufferedReader reader = reader(socket);
      assertThat(readResponse(reader)).containsAtLeast("HTTP/1.1 200 OK", "Connection: close");
      assertThat(reader.read()).isEqualTo(-1);
      socket.close();
      stopped.join();
    }
  }

  @Test
  void refusesRequestWhoseBodyArrivesWhileServerStops() throws Exception {
    try (Socket socket = new Socket(HOST, port)) {
      socket.getOutputStream().write(requestHead(BODY.length()));
      awaitCondition(() -> server.inFlight() == 1);
      final CompletableFuture<Void> stopped = stopServer();
      socket.getOutputStream().write(BODY.getBytes(UTF_8));

      assertThat(readResponse(reader(socket)))
          .containsAtLeast("Currantslip-Code: 3008", "Currantslip-Ran: no");
      socket.close();
      stopped.join();
    }
    assertThat(startedRequests).isEmpty();
  }

  @Test
  void closesIdleConnectionInOrderWhenServerStops() throws Exception {
    requests = FrontDoorStopTest::respond;
    try (Socket socket = new Socket(HOST, port)) {
      BufferedReader reader = reader(socket);
      send(socket, BODY);
      assertThat(readResponse(reader)).contains("HTTP/1.1 200 OK");
      final CompletableFuture<Void> stopped = stopServer();

      assertThat(reader.read()).isEqualTo(-1);
      socket.close();
      stopped.join();
    }
  }

  @Test
  void tellsCallersOfOlderRequestsToCloseOnceNodeLeaves() throws Exception {
    try (Socket socket = new Socket(HOST, port)) {
      send(socket, BODY);
      CallerSink sink = startedRequests.take().sink();
      server.startLeaving();
      sink.head(head(ResultCode.OK, false));
      sink.finish(head(ResultCode.OK, false));

      assertThat(readResponse(reader(socket))).contains("Connection: close");
    }
  }

  @Test
  void deliversRefusalWhileBodyIsStillBeingSent() throws Exception {
    server.refuseRequests();
    byte[] part = new byte[1 << 14];
    try (Socket socket = new Socket(HOST, port)) {
      socket.getOutputStream().write(requestHead(MAX_BODY_BYTES));
      awaitCondition(() -> requestsRead.get() == 1 && server.inFlight() == 0);
      for (int sent = 0; sent < MAX_BODY_BYTES; sent += part.length) {
        socket.getOutputStream().write(part);
      }

      BufferedReader reader = reader(socket);
      assertThat(readResponse(reader)).contains("Currantslip-Code: 3008");
      assertThat(reader.read()).isEqualTo(-1);
    }
  }

  @Test
  void answersPipelinedRequestLargerThanReadBuffer() throws Exception {
    try (Socket socket = new Socket(HOST, port)) {
      final BufferedReader reader = reader(socket);
      String large = BODY.replace("hi", Strings.repeat("h", 20_000));
      byte[] firstHead = requestHead(BODY.length());
      byte[] secondHead = requestHead(large.length());
      byte[] all = new byte[firstHead.length + BODY.length() + secondHead.length + large.length()];
      System.arraycopy(firstHead, 0, all, 0, firstHead.length);
      System.arraycopy(BODY.getBytes(UTF_8), 0, all, firstHead.length, BODY.length());
      int second = firstHead.length + BODY.length();
      System.arraycopy(secondHead, 0, all, second, secondHead.length);
      System.arraycopy(large.getBytes(UTF_8), 0, all, second + secondHead.length, large.length());
      socket.getOutputStream().write(all);
      StartedRequest first = startedRequests.take();
      respond(first.request(), first.sink());
      assertThat(readResponse(reader)).contains("HTTP/1.1 200 OK");

      StartedRequest next = startedRequests.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
      assertThat(next).isNotNull();
      assertThat(next.request().body().size()).isEqualTo(large.length());
    }
  }

  @Test
  void answersRequestWhoseStartFails() throws Exception {
    requests =
        (request, sink) -> {
          throw new IllegalStateException("fault in a rule");
        };
    try (Socket socket = new Socket(HOST, port)) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      send(socket, BODY);

      assertThat(readResponse(reader(socket))).contains("Currantslip-Code: 9001");
    }
  }

  @Test
  void countsNoRequestsOfCallersThatDisconnected() throws Exception {
    try (Socket socket = new Socket(HOST, port)) {
      send(socket, BODY);
      startedRequests.take();
    }

    awaitCondition(() -> server.inFlight() == 0);
  }

  /** Collects log lines while it is open. */
  private static final class LogCapture extends AppenderBase<ILoggingEvent>
      implements AutoCloseable {
    private final Logger logger = (Logger) LoggerFactory.getLogger(EventLog.class);
    private final List<String> lines = new CopyOnWriteArrayList<>();

    private LogCapture() {
      start();
      logger.addAppender(this);
    }

    @Override
    protected void append(ILoggingEvent event) {
      lines.add(event.getFormattedMessage());
    }

    @Override
    public void close() {
      logger.detachAppender(this);
    }

    private boolean contains(String pattern) {
      return lines.stream().anyMatch(line -> Pattern.compile(pattern).matcher(line).find());
    }
  }

  @Test
  void logsWhyConnectionWithRequestIsClosed() throws Exception {
    try (LogCapture log = new LogCapture();
        Socket socket = new Socket(HOST, port)) {
      send(socket, BODY);
      CallerSink sink = startedRequests.take().sink();
      sink.head(head(ResultCode.OK, true));
      sink.data(ByteString.copyFrom(new byte[1 << 17]));

      awaitCondition(
          () ->
              log.contains(
                  "1011 CONNECTION_CUT request=n1.1.1 rule=PENDING_BYTES age_ms=[0-9]+"
                      + " arrival_version=0 config_version=0"));
    }
  }

  private void exchange(Socket socket) throws IOException {
    send(socket, BODY);
    assertThat(readResponse(reader(socket))).contains("HTTP/1.1 200 OK");
  }

  /** A thread without time finds the request and the expired idle timeout at the same moment. */
  @Test
  void answersRequestThatWasSentBeforeItsIdleTimeoutExpired() throws Exception {
    requests = FrontDoorStopTest::respond;
    server.setIdleTimeout(SHORT_IDLE_TIMEOUT_MS);
    CountDownLatch stalled = new CountDownLatch(1);
    CountDownLatch resumed = new CountDownLatch(1);
    try (Socket kept = new Socket(HOST, port);
        Socket idle = new Socket(HOST, port);
        Socket stalling = new Socket(HOST, port)) {
      exchange(kept);
      exchange(idle);
      onRequestRead =
          () -> {
            onRequestRead = () -> {};
            stalled.countDown();
            Uninterruptibles.awaitUninterruptibly(resumed);
          };
      send(stalling, BODY);
      stalled.await();
      send(kept, BODY);
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
      resumed.countDown();

      assertThat(readResponse(reader(kept))).contains("HTTP/1.1 200 OK");
    } finally {
      resumed.countDown();
    }
  }

  private static void assertOpenFor(Socket socket, long startNs, long durationMs)
      throws IOException {
    assertThat(socket.getInputStream().read()).isEqualTo(-1);
    assertThat(Duration.ofNanos(System.nanoTime() - startNs).toMillis()).isAtLeast(durationMs);
  }

  @Test
  void keepsOpenConnectionForIdleTimeoutThatWasRaised() throws Exception {
    requests = FrontDoorStopTest::respond;
    server.setIdleTimeout(SHORT_IDLE_TIMEOUT_MS);
    try (Socket socket = new Socket(HOST, port)) {
      exchange(socket);
      final long startNs = System.nanoTime();
      server.setIdleTimeout(LONG_IDLE_TIMEOUT_MS);

      assertOpenFor(socket, startNs, LONG_IDLE_TIMEOUT_MS);
    }
  }

  @Test
  void keepsConnectionForIdleTimeoutThatWasRaisedDuringRequest() throws Exception {
    server.setIdleTimeout(SHORT_IDLE_TIMEOUT_MS);
    try (Socket socket = new Socket(HOST, port)) {
      send(socket, BODY);
      final StartedRequest started = startedRequests.take();
      server.setIdleTimeout(LONG_IDLE_TIMEOUT_MS);
      respond(started.request(), started.sink());
      assertThat(readResponse(reader(socket))).contains("HTTP/1.1 200 OK");

      assertOpenFor(socket, System.nanoTime(), LONG_IDLE_TIMEOUT_MS);
    }
  }
}
