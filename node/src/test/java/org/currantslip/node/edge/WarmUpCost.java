package org.currantslip.node.edge;

import java.time.Duration;
import java.util.List;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.adapter.settings.SettingsLoader;
import org.currantslip.node.log.LogSetup;
import org.currantslip.node.wiring.MonotonicClock;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.platform.WarmUpCall;
import org.currantslip.schema.EdgeSettings;
import org.eclipse.jetty.client.HttpClient;

/**
 * Prints the processor time of the first calls of a process, by kind; {@code bin/warm-up-cost} runs
 * it with the options of a deployed node.
 */
final class WarmUpCost {
  private static final int CALL_COUNT = 100;
  private static final int THREADS = 8;
  private static final List<Integer> REPORTED = List.of(1, 2, 5, 10, 20, 55, 100);

  private WarmUpCost() {}

  /** Runs the calls of the kind that is named, or of all kinds in turn. */
  public static void main(String[] args) throws Exception {
    List<WarmUpCall> kinds =
        args.length == 0 ? List.of(WarmUpCall.values()) : List.of(WarmUpCall.valueOf(args[0]));
    try (RehearsalPlatform platform = new RehearsalPlatform()) {
      EdgeSettings settings =
          SettingsLoader.loadEdge(CdsTrainingRun.edgeSettingsText("cost", platform));
      LogSetup.apply(settings.getLog());
      HttpClient client =
          HttpClients.startWithoutTls("endpoint", THREADS, Duration.ofSeconds(1).toMillis());
      long beforeNs = processorNs();
      WarmUpPath path =
          WarmUpPath.open(EdgeOptions.warmUpCaller(settings), client, MonotonicClock.create());
      System.out.printf(
          "before %.0f ms, open %.0f ms%n", ms(beforeNs), ms(processorNs() - beforeNs));
      long groupNs = processorNs();
      int from = 0;
      for (int i = 1; i <= CALL_COUNT; i++) {
        path.run(kinds.get(i % kinds.size()));
        if (REPORTED.contains(i)) {
          long nowNs = processorNs();
          System.out.printf(
              "calls %d to %d: %.1f ms each%n", from + 1, i, ms(nowNs - groupNs) / (i - from));
          from = i;
          groupNs = nowNs;
        }
      }
      path.close();
      HttpClients.stop(client);
      System.out.printf(
          "close %.0f ms, all %.0f ms%n", ms(processorNs() - groupNs), ms(processorNs()));
    }
    LogSetup.stop();
  }

  private static long processorNs() {
    return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos();
  }

  private static double ms(long ns) {
    return ns / 1e6;
  }
}
