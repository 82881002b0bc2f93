package org.currantslip.node.caller;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import com.google.protobuf.ByteString;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.schema.AccountSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Callers that close their connection while the selector or the decision thread is held up. */
final class CallerGoneTest {
  private static final long TIMEOUT_S = 10;

  /** The clock of the decision thread stands still, so that no request is refused for its lag. */
  private static final long NOW_MS = 1_000;

  private static final String REQUEST =
      """
      GET /services/record/%s HTTP/1.1\r
      Host: h\r
      Authorization: Bearer a-long-enough-token\r
      \r
      """;

  private record Started(String path, CallerSink sink) {}

  /** Holds up the thread that passes it, until it is opened. */
  private record Gate(CountDownLatch reached, CountDownLatch opened) {
    static Gate closed() {
      return new Gate(new CountDownLatch(1), new CountDownLatch(1));
    }

    void pass() {
      reached.countDown();
      Uninterruptibles.awaitUninterruptibly(opened);
    }
  }

  private final DecisionThread decisions = DecisionThread.create(() -> NOW_MS);
  private final BlockingQueue<Started> started = new LinkedBlockingQueue<>();
  private final AtomicInteger lastId = new AtomicInteger();
  private final List<Gate> gates = new CopyOnWriteArrayList<>();
  private final AtomicReference<Gate> selectorGate = new AtomicReference<>();
  private final List<Socket> others = new ArrayList<>();
  private FrontDoor server;

  @BeforeEach
  void open() throws Exception {
    CallerOptions options =
        new CallerOptions(
            "127.0.0.1",
            0,
            4_096,
            1 << 20,
            2_048,
            64,
            16,
            1 << 16,
            10_000,
            10_000,
            30_000,
            60_000,
            5_000,
            500,
            "record"::equals);
    AccountSettings account =
        AccountSettings.newBuilder().setName("crew").setToken("a-long-enough-token").build();
    server =
        FrontDoor.create(
            options,
            AccountTokens.of(List.of(account)),
            System::currentTimeMillis,
            decisions,
            (request, sink) -> {
              started.add(new Started(request.path(), sink));
              return () -> {};
            },
            this::nextId,
            EntryView::empty);
    decisions.start();
    server.start();
  }

  @AfterEach
  void close() throws Exception {
    gates.forEach(gate -> gate.opened().countDown());
    for (Socket other : others) {
      other.close();
    }
    server.stop();
    decisions.stop();
  }

  /** Runs on the selector thread, which handles requests itself. */
  private String nextId() {
    Gate gate = selectorGate.get();
    if (gate != null) {
      gate.pass();
    }
    return "n1.1." + lastId.incrementAndGet();
  }

  private Socket send(String path) throws IOException {
    Socket socket = new Socket("127.0.0.1", server.port());
    socket.getOutputStream().write(REQUEST.formatted(path).getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private Gate newGate() {
    Gate gate = Gate.closed();
    gates.add(gate);
    return gate;
  }

  private static void await(Gate gate) throws Exception {
    assertThat(gate.reached().await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
  }

  /** Holds up the selector thread with a request of another caller. */
  private Gate holdSelector() throws Exception {
    Gate gate = newGate();
    selectorGate.set(gate);
    others.add(send("holding"));
    await(gate);
    selectorGate.set(null);
    return gate;
  }

  private Started takeStarted() throws Exception {
    Started next = started.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertThat(next).isNotNull();
    return next;
  }

  private static void answer(Started request) {
    ResponseHead head =
        new ResponseHead(
            "n1.1.1",
            ResultCode.OK,
            Ran.YES,
            200,
            "text/plain",
            false,
            "",
            "v1",
            1,
            List.of(),
            0,
            "",
            false,
            false,
            "");
    request.sink().head(head);
    request.sink().data(ByteString.copyFromUtf8("body of " + request.path() + "\n"));
    request.sink().finish(head);
  }

  private static void awaitCondition(BooleanSupplier condition) {
    long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(endNs);
      LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
    }
  }

  /** Guards against the loss of a request that the check for its caller's close has read. */
  @Test
  void pipelinedRequestThatTheCheckReadsIsAnsweredInOrder() throws Exception {
    try (Socket caller = send("first")) {
      caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
      Started first = takeStarted();
      final Gate selector = holdSelector();
      caller
          .getOutputStream()
          .write(REQUEST.formatted("second").getBytes(StandardCharsets.US_ASCII));
      assertThat(first.sink().isAbandoned()).isFalse();
      selector.opened().countDown();
      assertThat(takeStarted().path()).endsWith("holding");
      answer(first);
      Started second = takeStarted();
      assertThat(second.path()).endsWith("second");
      answer(second);
      BufferedReader answers =
          new BufferedReader(
              new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII));
      List<String> bodies = new ArrayList<>();
      while (bodies.size() < 2) {
        String line = answers.readLine();
        if (line.startsWith("body of ")) {
          bodies.add(line);
        }
      }
      assertThat(bodies.get(0)).endsWith("first");
      assertThat(bodies.get(1)).contains("second");
    }
  }

  /** Guards against a request that is sent while its caller's close waits for the selector. */
  @Test
  void closeIsNoticedAtTheWriteWhileSelectorIsHeldUp() throws Exception {
    CallerSink sink;
    try (Socket caller = send("leaving")) {
      sink = takeStarted().sink();
      assertThat(caller.isConnected()).isTrue();
      assertThat(sink.isAbandoned()).isFalse();
      Gate unused = holdSelector();
    }
    awaitCondition(sink::isAbandoned);
  }

  /** Guards against work for a caller that had closed before its request was read. */
  @Test
  void requestThatIsReadAfterItsCallerClosedIsNotStarted() throws Exception {
    Gate selector = holdSelector();
    send("leaving").close();
    selector.opened().countDown();
    awaitCondition(() -> lastId.get() > 1);
    others.add(send("staying"));
    assertThat(takeStarted().path()).endsWith("holding");
    assertThat(takeStarted().path()).endsWith("staying");
  }

  /** Guards against work for a caller that closed while its request waited to begin. */
  @Test
  void requestWhoseCallerClosedBeforeItBeganIsNotStarted() throws Exception {
    Gate decisionGate = newGate();
    decisions.execute(decisionGate::pass);
    await(decisionGate);
    try (Socket caller = send("leaving")) {
      assertThat(caller.isConnected()).isTrue();
      awaitCondition(() -> server.admittedCount() == 1);
      Gate unused = holdSelector();
    }
    decisionGate.opened().countDown();
    CountDownLatch requestsRan = new CountDownLatch(1);
    assertThat(decisions.offerRequest(requestsRan::countDown)).isTrue();
    assertThat(requestsRan.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    assertThat(started).isEmpty();
  }
}
