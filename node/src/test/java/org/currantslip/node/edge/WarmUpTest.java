package org.currantslip.node.edge;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.core.start.WarmUpPolicy.End;
import org.currantslip.core.start.WarmUpPolicy.Surroundings;
import org.currantslip.node.wiring.MonotonicClock;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.platform.WarmUpCall;
import org.currantslip.schema.EdgeSettings;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Runs the warm-up of a node on sockets of loopback. */
final class WarmUpTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final long MAX_MS = 9_000;
  private static final Surroundings FIRST_START = new Surroundings(true, 0, false);

  private final MonotonicClock clock = MonotonicClock.create();
  private final HttpClient client = HttpClients.startWithoutTls("endpoint", 4, 400);
  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
  private final Logger root = (Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME);
  private final Logger project = (Logger) LoggerFactory.getLogger("org.currantslip");
  private RehearsalPlatform platform;
  private EdgeSettings settings;

  @BeforeEach
  void open() throws Exception {
    platform = new RehearsalPlatform();
    settings = CdsTrainingRun.edgeSettings("edge-1", platform);
    project.setLevel(Level.DEBUG);
    lines.start();
    root.addAppender(lines);
  }

  @AfterEach
  void close() {
    root.detachAppender(lines);
    project.setLevel(null);
    HttpClients.stop(client);
    platform.close();
  }

  private WarmUpPath openPath() throws Exception {
    return WarmUpPath.open(EdgeOptions.warmUpCaller(settings), client, clock);
  }

  private WarmUp warmUp(Surroundings surroundings, WarmUp.Opener opener) {
    return WarmUp.create(clock, MAX_MS, () -> 0, () -> Optional.of(surroundings), opener);
  }

  private static void awaitCondition(BooleanSupplier condition) {
    long endNs = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(endNs);
      LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
    }
  }

  private static Set<String> warmUpThreads() {
    return Thread.getAllStackTraces().keySet().stream()
        .map(Thread::getName)
        .filter(n -> n.startsWith("caller") || n.startsWith("warm-up") || n.equals("decision"))
        .collect(Collectors.toSet());
  }

  /** Guards against a warm-up that leaves out a kind of call, logs it, or reaches an endpoint. */
  @Test
  void callsEachKindAndNothingElse() throws Exception {
    try (WarmUpPath path = openPath()) {
      for (WarmUpCall call : WarmUpCall.values()) {
        path.run(call);
      }
      assertThat(path.endpointRequestCount()).isEqualTo(5);
    }
    assertThat(platform.endpointRequests()).isEmpty();
    assertThat(lines.list).isEmpty();
  }

  /** Guards against threads and ports that outlive the warm-up and cost memory. */
  @Test
  void releasesWhatItUsed() {
    WarmUp.Result result = warmUp(FIRST_START, this::openPath).run();
    assertThat(result.end()).isEqualTo(End.SETTLED);
    assertThat(result.calls()).isEqualTo(24 * WarmUpCall.values().length);
    awaitCondition(() -> warmUpThreads().isEmpty());
  }

  /** Guards against a node that does not open its port because a call fails. */
  @Test
  void failureEndsWarmUp() {
    WarmUp.Result result =
        warmUp(
                FIRST_START,
                () -> {
                  throw new IOException("no port");
                })
            .run();
    assertThat(result.end()).isEqualTo(End.FAILED);
    assertThat(lines.list.get(0).getFormattedMessage()).contains("WARM_UP_FAILED");
  }

  /** Guards against a node that does not open its port because the warm-up hangs. */
  @Test
  void hangIsCutAtTheLimitOfThatMoment() {
    CountDownLatch hang = new CountDownLatch(1);
    AtomicBoolean interrupted = new AtomicBoolean();
    WarmUp.Result result =
        warmUp(
                new Surroundings(false, 1, false),
                () -> {
                  try {
                    hang.await();
                  } catch (InterruptedException e) {
                    interrupted.set(true);
                  }
                  throw new IOException("interrupted");
                })
            .run();
    assertThat(result.end()).isEqualTo(End.CUT);
    assertThat(result.elapsedMs()).isLessThan(MAX_MS);
    awaitCondition(interrupted::get);
  }

  /** Guards against a node that warms up while it stops. */
  @Test
  void endsOnceNodeIsStopped() {
    AtomicLong questions = new AtomicLong();
    WarmUp.Result result =
        WarmUp.create(
                clock,
                MAX_MS,
                () -> 0,
                () -> questions.incrementAndGet() > 3 ? Optional.empty() : Optional.of(FIRST_START),
                this::openPath)
            .run();
    assertThat(result.end()).isAnyOf(End.WITHDRAWN, End.CUT);
    assertThat(result.calls()).isLessThan(WarmUpCall.values().length);
  }

  /** Guards against a warm-up of a node that has lost the configuration or stops. */
  @Test
  void doesNotBeginWhileNodeCannotServe() {
    AtomicLong opened = new AtomicLong();
    WarmUp warmUp =
        WarmUp.create(
            clock,
            MAX_MS,
            () -> 0,
            Optional::empty,
            () -> {
              opened.incrementAndGet();
              return openPath();
            });
    assertThat(warmUp.run().end()).isEqualTo(End.WITHDRAWN);
    assertThat(opened.get()).isEqualTo(0);
  }
}
