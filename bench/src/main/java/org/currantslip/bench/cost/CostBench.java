package org.currantslip.bench.cost;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.bench.Bench;
import org.currantslip.bench.ResultTable;
import org.currantslip.platform.RehearsalPlatform;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Measures the processor time, wake-ups and memory of one edge node, by kind of request and by the
 * position of the request in the life of the process.
 *
 * <p>A cold process on a busy machine may refuse a request; such answers are counted.
 *
 * <p>Requests come one at a time with a pause between them, as on a node with few requests a
 * second. The processor time of an idle node is subtracted. The store and the endpoint run in this
 * process.
 */
public final class CostBench implements Bench {
  private static final int CLIENT_THREADS = 2;
  private static final long WATCH_MS = 12_000;

  /** Time between requests; the node's work after a response is counted to it. */
  private static final long GAP_MS = 15;

  private static final long SETTLE_MS = 2_000;
  private static final long IDLE_MS = 8_000;
  private static final double MS_PER_S = 1_000;
  private static final double KB_PER_MB = 1_024;

  /** Last request of each group that is reported. */
  private static final List<Integer> GROUP_ENDS = List.of(1, 2, 5, 20, 100, 500);

  /** Requests from this one on are reported by thread. */
  private static final int WARM_FROM = 100;

  private enum Kind {
    WHOLE(RehearsalPlatform.ONCE_PATH, 200, true, 500),
    WHOLE_KEPT(RehearsalPlatform.ONCE_PATH, 200, false, 500),
    STREAM_10(RehearsalPlatform.EVENTS_PATH + "10", 200, true, 500),
    STREAM_70(RehearsalPlatform.EVENTS_PATH + "70", 200, true, 200),
    REFUSAL("/unknown/", 404, true, 500);

    private final String path;
    private final int status;
    private final boolean newConnections;
    private final int requestCount;

    Kind(String path, int status, boolean newConnections, int requestCount) {
      this.path = path;
      this.status = status;
      this.newConnections = newConnections;
      this.requestCount = requestCount;
    }
  }

  private final ResultTable requests =
      ResultTable.of(
          "processor ms per request",
          "kind",
          "archive",
          "requests",
          "ms",
          "of it compiler",
          "of it gc",
          "wake-ups",
          "unexpected");
  private final ResultTable layers =
      ResultTable.of("processor ms per warm request by thread", "kind", "threads", "ms");
  private final ResultTable processes =
      ResultTable.of(
          "processes",
          "kind",
          "archive",
          "start user ms",
          "start system ms",
          "start compiler ms",
          "idle ms/s",
          "idle wake-ups/s",
          "peak MB");

  private CostBench() {}

  /** Creates the experiment. */
  public static CostBench create() {
    return new CostBench();
  }

  @Override
  public String name() {
    return "cost";
  }

  @Override
  public List<ResultTable> run(long seed, Path outDir) throws IOException {
    HttpClient client = HttpClients.start("caller", CLIENT_THREADS);
    try {
      for (Kind kind : Kind.values()) {
        measure(client, kind, true, outDir);
      }
      measure(client, Kind.WHOLE, false, outDir);
    } finally {
      HttpClients.stop(client);
    }
    return List.of(requests, layers, processes);
  }

  private void measure(HttpClient client, Kind kind, boolean archive, Path outDir)
      throws IOException {
    String name = kind + (archive ? "" : "-no-archive");
    try (RehearsalPlatform platform = RehearsalPlatform.withWatches(WATCH_MS);
        MeasuredNode node = MeasuredNode.start(name, platform.storeAddress(), outDir, archive)) {
      final double[] startMs = node.usage().userAndSystemMs();
      final ProcessUsage.Reading started = node.usage().read();
      Pause.ms(SETTLE_MS);
      final ProcessUsage.Reading idleFrom = node.usage().read();
      Pause.ms(IDLE_MS);
      final ProcessUsage.Reading idleTo = node.usage().read();
      double idlePerMs = (idleTo.totalMs() - idleFrom.totalMs()) / IDLE_MS;
      sendAll(client, kind, archive, node, idlePerMs);
      processes.add(
          kind,
          archive,
          startMs[0],
          startMs[1],
          groupMs(started, "C1"),
          idlePerMs * MS_PER_S,
          (idleTo.switches() - idleFrom.switches()) * MS_PER_S / IDLE_MS,
          node.usage().peakMemoryKb() / KB_PER_MB);
    }
  }

  private void sendAll(
      HttpClient client, Kind kind, boolean archive, MeasuredNode node, double idlePerMs)
      throws IOException {
    int sent = 0;
    for (int groupEnd : GROUP_ENDS) {
      int count = Math.min(groupEnd, kind.requestCount) - sent;
      if (count <= 0) {
        break;
      }
      final ProcessUsage.Reading from = node.usage().read();
      final long fromNs = System.nanoTime();
      int unexpected = 0;
      for (int i = 0; i < count; i++) {
        unexpected += send(client, kind, node.callerPort(), sent + i) == kind.status ? 0 : 1;
        Pause.ms(GAP_MS);
      }
      final double idleMs = idlePerMs * (System.nanoTime() - fromNs) / 1e6;
      final ProcessUsage.Reading to = node.usage().read();
      requests.add(
          kind,
          archive,
          (sent + 1) + " to " + (sent + count),
          (to.totalMs() - from.totalMs() - idleMs) / count,
          (groupMs(to, "C1") - groupMs(from, "C1")) / count,
          (groupMs(to, "VM Thread") - groupMs(from, "VM Thread")) / count,
          (double) (to.switches() - from.switches()) / count,
          unexpected);
      if (sent >= WARM_FROM) {
        addLayers(kind, archive, from, to, count);
      }
      sent += count;
    }
  }

  private void addLayers(
      Kind kind, boolean archive, ProcessUsage.Reading from, ProcessUsage.Reading to, int count) {
    Map<String, Double> used = new TreeMap<>(to.cpuMs());
    from.cpuMs().forEach((group, ms) -> used.merge(group, -ms, Double::sum));
    used.forEach(
        (group, ms) -> {
          if (archive && ms / count >= 0.001) {
            layers.add(kind, group, ms / count);
          }
        });
  }

  private static double groupMs(ProcessUsage.Reading reading, String prefix) {
    return reading.cpuMs().entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }

  /** Sends a request and returns the status of its response. */
  private static int send(HttpClient client, Kind kind, int port, int number) throws IOException {
    try {
      ContentResponse response =
          client
              .newRequest("127.0.0.1", port)
              .method("POST")
              .path(kind.path)
              .headers(
                  h -> {
                    RehearsalPlatform.callerFields("cost-" + number).forEach(h::put);
                    RehearsalPlatform.promptFields().forEach(h::put);
                    if (kind.newConnections) {
                      h.put(HttpHeader.CONNECTION, "close");
                    }
                  })
              .body(new StringRequestContent("application/json", "{\"prompt\":\"body\"}"))
              .send();
      return response.getStatus();
    } catch (InterruptedException | TimeoutException | ExecutionException e) {
      throw new IOException(kind + " failed", e);
    }
  }
}
