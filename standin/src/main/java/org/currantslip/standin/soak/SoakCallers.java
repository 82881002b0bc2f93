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

/** Callers that send one request after another on connections they keep. */
final class SoakCallers {
  /** Timeout of the configuration's routes, and what a final answer may come later. */
  private static final long ANSWER_MS = 5_000 + 1_500;

  /** How long after a harm requests may still fail because of it. */
  private static final long CALM_MS = 3_000;

  private static final long PAUSE_MS = 20;
  private static final double STREAMS = 0.3;
  private static final int OK = 200;

  /** Numbers the requests of all callers of this process. */
  private static final AtomicLong COUNT = new AtomicLong();

  private final List<NodeProcess> nodes;
  private final List<FaultProxy> proxies;
  private final SoakLedger ledger;
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  private SoakCallers(List<NodeProcess> nodes, List<FaultProxy> proxies, SoakLedger ledger) {
    this.nodes = nodes;
    this.proxies = proxies;
    this.ledger = ledger;
  }

  static SoakCallers start(
      List<NodeProcess> nodes, List<FaultProxy> proxies, SoakLedger ledger, int number, long seed) {
    SoakCallers callers = new SoakCallers(nodes, proxies, ledger);
    for (int i = 0; i < number; i++) {
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
      thread.join(2 * ANSWER_MS);
    }
  }

  private void run(Random random) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    NodeProcess node = nodes.get(random.nextInt(nodes.size()));
    while (!stopped) {
      boolean served = call(client, node, random.nextDouble() < STREAMS) == OK;
      if (!served) {
        node = nodes.get(random.nextInt(nodes.size()));
        pause();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends one request and checks its answer; returns the status, or 0 when there was none. */
  int call(HttpClient client, NodeProcess node, boolean stream) {
    String path = stream ? RehearsalPlatform.STREAM_PATH : RehearsalPlatform.ONCE_PATH;
    return call(client, node, path);
  }

  int call(HttpClient client, NodeProcess node, String path) {
    String id = path + node.name() + "-" + COUNT.incrementAndGet();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(node.callerAddress() + path))
            .timeout(Duration.ofMillis(ANSWER_MS))
            .POST(HttpRequest.BodyPublishers.ofString(id));
    RehearsalPlatform.callerFields(id).forEach(request::setHeader);
    long sentMs = System.currentTimeMillis();
    try {
      HttpResponse<String> answer =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      check(id, answer, path.equals(RehearsalPlatform.STREAM_PATH));
      return answer.statusCode();
    } catch (HttpTimeoutException e) {
      ledger.outcome("no answer");
      if (isCalm(node, sentMs)) {
        ledger.broke("HELD", id + " without an answer after " + ANSWER_MS + " ms");
      }
    } catch (IOException e) {
      ledger.outcome("connection lost");
      if (isCalm(node, sentMs) && ledger.runs(id) > 0) {
        ledger.broke("LOST", id + " ran, and its connection ended: " + e);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return 0;
  }

  /** Returns whether neither the node nor any link was harmed since shortly before a request. */
  private boolean isCalm(NodeProcess node, long sentMs) {
    long fromMs = sentMs - CALM_MS;
    return node.isCalmSince(fromMs) && proxies.stream().allMatch(p -> p.isCalmSince(fromMs));
  }

  private void check(String id, HttpResponse<String> answer, boolean stream) {
    ledger.outcome("status " + answer.statusCode());
    answer
        .headers()
        .firstValue(RehearsalPlatform.NOT_RUN)
        .ifPresent(v -> ledger.toldNotRun(id, answer.statusCode() + " " + v));
    if (answer.statusCode() != OK) {
      return;
    }
    String expected =
        stream
            ? IntStream.rangeClosed(1, SoakEndpoint.EVENTS)
                .mapToObj(n -> "data: " + SoakEndpoint.eventOf(id, n) + "\n\n")
                .collect(Collectors.joining("", "", "data: [DONE]\n\n"))
            : SoakEndpoint.answerTo(id);
    if (!answer.body().equals(expected)) {
      boolean own = answer.body().contains(id);
      ledger.broke(own ? "NOT_WHOLE" : "CROSSED", id + " got " + brief(answer.body()));
    }
  }

  private static String brief(String body) {
    return body.length() <= 120 ? body : body.substring(0, 120) + "...";
  }
}
