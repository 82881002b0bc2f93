package org.currantslip.standin.soak;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.currantslip.platform.RehearsalPlatform;

/** Callers that send requests one after another on persistent connections. */
final class SoakCallers {
  /** Timeout of the configured routes plus the margin for the final answer to arrive. */
  private static final long ANSWER_TIMEOUT_MS = 5_000 + 1_500;

  /** Time after a fault during which requests may still fail because of it. */
  private static final long FAULT_EFFECT_MS = 3_000;

  /** Smallest timeout of the configured routes. */
  static final int MIN_TIMEOUT_MS = 4_000;

  /** Maximum time between sending a request and a close that it crosses. */
  private static final long LOSS_SLACK_MS = 200;

  /** API key and path prefix that only some configurations have. */
  static final String SPARE_KEY = "spare";

  static final String SPARE_PATH = "/spare/";

  private static final List<String> CRASHING_PATHS =
      List.of(
          RehearsalPlatform.RESUMED_PATH, RehearsalPlatform.SAFE_PATH, RehearsalPlatform.ONCE_PATH);

  private static final String QUARANTINED = "QUARANTINED";
  private static final double REPEATED_SHARE = 0.7;
  private static final double SPARE_SHARE = 0.1;
  private static final double IDLE_SHARE = 0.05;

  /** Maximum pause between two requests of a connection: four fifths of the least idle limit. */
  private static final int MAX_IDLE_MS = 800;

  /** Maximum number of times that a sound request is sent, with the same body. */
  private static final int MAX_SENDS = 4;

  private static final int MAX_SENDS_AT_ONCE = 3;
  private static final int MAX_DELAY_MS = 50;
  private static final int MAX_CRASHING_GAP_MS = 400;
  private static final long RETRY_PAUSE_MS = 20;
  private static final double STREAM_SHARE = 0.3;
  private static final int OK = 200;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  /** Counts the requests of all callers in this process, to make their ids unique. */
  private static final AtomicLong REQUEST_COUNTER = new AtomicLong();

  private final SoakFleet fleet;
  private final SoakRecorder recorder;
  private final SoakOptions options;
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  private SoakCallers(SoakFleet fleet, SoakRecorder recorder, SoakOptions options) {
    this.fleet = fleet;
    this.recorder = recorder;
    this.options = options;
  }

  static SoakCallers start(
      SoakFleet fleet, SoakRecorder recorder, SoakOptions options, int count, long seed) {
    SoakCallers callers = new SoakCallers(fleet, recorder, options);
    for (int i = 0; i < count; i++) {
      Random random = new Random(seed + i);
      Random added = new Random(~(seed + i));
      callers.start("caller-" + i, () -> callers.run(random, added));
    }
    if (options.crashingRequests()) {
      for (String path : CRASHING_PATHS) {
        Random random = new Random(seed ^ path.hashCode());
        callers.start("crashing-caller", () -> callers.runCrashing(random, path));
      }
    }
    return callers;
  }

  private void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    threads.add(thread);
  }

  void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join(2 * ANSWER_TIMEOUT_MS);
    }
  }

  /**
   * Sends one request after another.
   *
   * @param added draws what the options add, so that the other draws of a seed stay
   */
  private void run(Random random, Random added) {
    HttpClient client = newClient();
    NodeProcess node = drawNode(random);
    while (!stopped) {
      boolean stream = random.nextDouble() < STREAM_SHARE;
      String path = stream ? RehearsalPlatform.STREAM_PATH : RehearsalPlatform.ONCE_PATH;
      String key = RehearsalPlatform.API_KEY;
      if (options.isExtended() && added.nextDouble() < REPEATED_SHARE) {
        path = stream ? RehearsalPlatform.RESUMED_PATH : RehearsalPlatform.SAFE_PATH;
      }
      if (options.changes() && added.nextDouble() < SPARE_SHARE) {
        path = stream ? path : SPARE_PATH;
        key = SPARE_KEY;
      }
      String body = "";
      for (int i = 0; i < (options.crashingRequests() ? MAX_SENDS : 1); i++) {
        String id = newId(path, node);
        body = body.isEmpty() ? id : body;
        if (call(client, node, path, id, key, body) == OK) {
          break;
        }
        node = drawNode(random);
        pause(RETRY_PAUSE_MS);
      }
      if (options.changes() && added.nextDouble() < IDLE_SHARE) {
        pause(added.nextInt(MAX_IDLE_MS));
      }
    }
  }

  /** Sends the same crashing request again and again, at times to several nodes at once. */
  private void runCrashing(Random random, String path) {
    HttpClient client = newClient();
    CrashOrder.Stage[] stages = CrashOrder.Stage.values();
    CrashOrder order = new CrashOrder(path, stages[random.nextInt(stages.length)]);
    while (!stopped) {
      List<Thread> sends = new ArrayList<>();
      for (int i = random.nextInt(MAX_SENDS_AT_ONCE); i >= 0; i--) {
        NodeProcess node = drawNode(random);
        int delayMs = random.nextInt(MAX_DELAY_MS);
        Thread send =
            new Thread(
                () -> {
                  pause(delayMs);
                  call(
                      client,
                      node,
                      path,
                      newId(path, node),
                      RehearsalPlatform.API_KEY,
                      order.body());
                });
        send.setDaemon(true);
        send.start();
        sends.add(send);
      }
      sends.forEach(Uninterruptibles::joinUninterruptibly);
      pause(random.nextInt(MAX_CRASHING_GAP_MS));
    }
  }

  private static HttpClient newClient() {
    return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  }

  private NodeProcess drawNode(Random random) {
    return fleet.nodes().get(random.nextInt(fleet.nodes().size()));
  }

  private static void pause(long forMs) {
    Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(forMs));
  }

  private static String newId(String path, NodeProcess node) {
    return path + node.name() + "-" + REQUEST_COUNTER.incrementAndGet();
  }

  /** Sends a request and checks its answer; returns the status, or 0 without an answer. */
  int call(HttpClient client, NodeProcess node, String path) {
    String id = newId(path, node);
    return call(client, node, path, id, RehearsalPlatform.API_KEY, id);
  }

  private int call(
      HttpClient client, NodeProcess node, String path, String id, String key, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(node.callerAddress() + path))
            .timeout(Duration.ofMillis(ANSWER_TIMEOUT_MS))
            .POST(HttpRequest.BodyPublishers.ofString(body));
    RehearsalPlatform.callerFields(id, key).forEach(request::setHeader);
    boolean crashing = CrashOrder.parse(body).isPresent();
    String kind = crashing ? "crashing: " : "";
    long sentMs = System.currentTimeMillis();
    try {
      HttpResponse<String> answer =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      boolean quarantined = answer.body().contains(QUARANTINED);
      recorder.addOutcome(
          kind + "status " + answer.statusCode() + (quarantined ? " " + QUARANTINED : ""));
      check(id, answer, path.startsWith(RehearsalPlatform.STREAM_PATH));
      if (!crashing) {
        checkNotGivenUp(id, node, sentMs, answer.statusCode());
      }
      return answer.statusCode();
    } catch (HttpTimeoutException e) {
      recorder.addOutcome(kind + "no answer");
      if (fleet.isUndisturbedSince(node, sentMs - FAULT_EFFECT_MS)) {
        recorder.addViolation("HELD", id + " got no answer within " + ANSWER_TIMEOUT_MS + " ms");
      }
    } catch (IOException e) {
      recorder.addOutcome(kind + "connection lost");
      if (!crashing) {
        checkNotLost(id, node, sentMs, e);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return 0;
  }

  /** Checks that an answer that an endpoint still makes is not replaced by a failure. */
  private void checkNotGivenUp(String id, NodeProcess node, long sentMs, int status) {
    boolean failure = status == BAD_GATEWAY || status == GATEWAY_TIMEOUT;
    if (failure
        && System.currentTimeMillis() - sentMs < MIN_TIMEOUT_MS
        && fleet.isUndisturbedSince(node, sentMs - FAULT_EFFECT_MS)) {
      recorder.addFailure(id, status);
    }
  }

  /** Checks whether the loss of a connection is allowed. */
  private void checkNotLost(String id, NodeProcess node, long sentMs, IOException cause) {
    long ageMs = System.currentTimeMillis() - sentMs;
    long fromMs = sentMs - FAULT_EFFECT_MS;
    List<String> endpoints = recorder.runs(id);
    boolean passedOn = !endpoints.isEmpty();
    boolean read = passedOn || (ageMs > LOSS_SLACK_MS && !(cause instanceof ConnectException));
    if (recorder.isAborted(id) && endpoints.size() > 1) {
      return;
    }
    String detail =
        "%s ran at %s, but its connection was lost after %d ms: %s"
            .formatted(id, endpoints, ageMs, cause);
    if (fleet.isUndisturbedSince(node, fromMs) ? read : passedOn && isPlanned(node, fromMs)) {
      recorder.addViolation("LOST", detail);
    } else if (passedOn && ageMs < MIN_TIMEOUT_MS && fleet.isSound(node, endpoints, fromMs)) {
      recorder.addLost(detail);
    }
  }

  /** Returns whether planned stops were the only faults since a time. */
  private boolean isPlanned(NodeProcess node, long fromMs) {
    return options.changes()
        && node.isPlannedOnlySince(fromMs)
        && fleet.store().isUndisturbedSince(fromMs)
        && fleet.endpoints().stream().allMatch(p -> p.isUndisturbedSince(fromMs));
  }

  private void check(String id, HttpResponse<String> answer, boolean stream) {
    answer
        .headers()
        .firstValue(RehearsalPlatform.NOT_RUN)
        .ifPresent(v -> recorder.addNotRunAnswer(id, answer.statusCode() + " " + v));
    if (answer.statusCode() != OK) {
      return;
    }
    String expected =
        stream
            ? IntStream.rangeClosed(1, SoakEndpoint.eventCount(id))
                .mapToObj(n -> "data: " + SoakEndpoint.eventText(id, n) + "\n\n")
                .collect(Collectors.joining("", "", "data: [DONE]\n\n"))
            : SoakEndpoint.answerText(id);
    if (!answer.body().equals(expected)) {
      boolean containsId = answer.body().contains(id);
      recorder.addViolation(
          containsId ? "NOT_WHOLE" : "CROSSED", id + " got " + abbreviate(answer.body()));
    }
  }

  private static String abbreviate(String body) {
    return body.length() <= 120 ? body : body.substring(0, 120) + "...";
  }
}
