package org.currantslip.standin.soak;

import java.io.IOException;
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

  private static final long RETRY_PAUSE_MS = 20;
  private static final double STREAM_SHARE = 0.3;
  private static final int OK = 200;

  /** Counts the requests of all callers in this process, to make their ids unique. */
  private static final AtomicLong REQUEST_COUNTER = new AtomicLong();

  private final List<NodeProcess> nodes;
  private final List<FaultProxy> proxies;
  private final SoakRecorder recorder;
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  private SoakCallers(List<NodeProcess> nodes, List<FaultProxy> proxies, SoakRecorder recorder) {
    this.nodes = nodes;
    this.proxies = proxies;
    this.recorder = recorder;
  }

  static SoakCallers start(
      List<NodeProcess> nodes,
      List<FaultProxy> proxies,
      SoakRecorder recorder,
      int count,
      long seed) {
    SoakCallers callers = new SoakCallers(nodes, proxies, recorder);
    for (int i = 0; i < count; i++) {
      Random random = new Random(seed + i);
      Thread thread = new Thread(() -> callers.run(random), "caller-" + i);
      thread.setDaemon(true);
      thread.start();
      callers.threads.add(thread);
    }
    return callers;
  }

  void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join(2 * ANSWER_TIMEOUT_MS);
    }
  }

  private void run(Random random) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    NodeProcess node = nodes.get(random.nextInt(nodes.size()));
    while (!stopped) {
      boolean served = call(client, node, random.nextDouble() < STREAM_SHARE) == OK;
      if (!served) {
        node = nodes.get(random.nextInt(nodes.size()));
        pause();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_PAUSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a request and checks its answer; returns the status, or 0 without an answer. */
  int call(HttpClient client, NodeProcess node, boolean stream) {
    String path = stream ? RehearsalPlatform.STREAM_PATH : RehearsalPlatform.ONCE_PATH;
    return call(client, node, path);
  }

  int call(HttpClient client, NodeProcess node, String path) {
    String id = path + node.name() + "-" + REQUEST_COUNTER.incrementAndGet();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(node.callerAddress() + path))
            .timeout(Duration.ofMillis(ANSWER_TIMEOUT_MS))
            .POST(HttpRequest.BodyPublishers.ofString(id));
    RehearsalPlatform.callerFields(id).forEach(request::setHeader);
    long sentMs = System.currentTimeMillis();
    try {
      HttpResponse<String> answer =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      check(id, answer, path.equals(RehearsalPlatform.STREAM_PATH));
      return answer.statusCode();
    } catch (HttpTimeoutException e) {
      recorder.addOutcome("no answer");
      if (isUndisturbed(node, sentMs)) {
        recorder.addViolation("HELD", id + " got no answer within " + ANSWER_TIMEOUT_MS + " ms");
      }
    } catch (IOException e) {
      recorder.addOutcome("connection lost");
      if (isUndisturbed(node, sentMs) && recorder.runs(id) > 0) {
        recorder.addViolation("LOST", id + " ran, but its connection was lost: " + e);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return 0;
  }

  /** Returns whether no fault since shortly before the request can have affected it. */
  private boolean isUndisturbed(NodeProcess node, long sentMs) {
    long fromMs = sentMs - FAULT_EFFECT_MS;
    return node.isUndisturbedSince(fromMs)
        && proxies.stream().allMatch(p -> p.isUndisturbedSince(fromMs));
  }

  private void check(String id, HttpResponse<String> answer, boolean stream) {
    recorder.addOutcome("status " + answer.statusCode());
    answer
        .headers()
        .firstValue(RehearsalPlatform.NOT_RUN)
        .ifPresent(v -> recorder.addNotRunAnswer(id, answer.statusCode() + " " + v));
    if (answer.statusCode() != OK) {
      return;
    }
    String expected =
        stream
            ? IntStream.rangeClosed(1, SoakEndpoint.EVENTS_PER_STREAM)
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
