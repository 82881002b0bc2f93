package org.currantslip.standin.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.standin.caller.CallerClient;
import org.currantslip.standin.demo.Waiting;

/** Sends load through nodes, directly to endpoints, or to both at once for comparison. */
public final class LoadCommand {
  private static final long DRAIN_TIMEOUT_MS = 60_000;
  private static final double[] PERCENTILES = {50, 90, 99, 99.9};
  private static final double MS_PER_S = 1000;

  private LoadCommand() {}

  /** Declares the command-line arguments. */
  public static void declare(Subparser parser) {
    parser.help("send load and report latency, result codes and incomplete answers");
    parser.addArgument("--via").nargs("*").setDefault(List.of()).help("addresses of nodes");
    parser.addArgument("--direct").nargs("*").setDefault(List.of()).help("addresses of engines");
    parser.addArgument("--node-pid").nargs("*").type(Long.class).setDefault(List.of());
    parser
        .addArgument("--rate")
        .type(Double.class)
        .setDefault(0.0)
        .help("arrivals/s on each target");
    parser
        .addArgument("--in-flight")
        .type(Integer.class)
        .setDefault(64)
        .help("concurrent requests if no rate is set");
    parser.addArgument("--warm-up-s").type(Integer.class).setDefault(5);
    parser.addArgument("--seconds").type(Integer.class).setDefault(15);
    parser.addArgument("--stream").action(Arguments.storeTrue());
    parser.addArgument("--model").required(true);
    parser.addArgument("--task").setDefault("default");
    parser.addArgument("--token").setDefault("");
    parser.addArgument("--seed").type(Long.class).setDefault(1L);
  }

  /** Runs the load; returns 1 if an answer was incomplete or of another prompt, otherwise 0. */
  public static int run(Namespace args) throws InterruptedException {
    LoadOptions options =
        new LoadOptions(
            args.getDouble("rate"),
            args.getInt("in_flight"),
            TimeUnit.SECONDS.toMillis(args.getInt("warm_up_s")),
            TimeUnit.SECONDS.toMillis(args.getInt("seconds")),
            args.getBoolean("stream"),
            args.getString("model"),
            args.getString("task"),
            args.getString("token"),
            args.getLong("seed"));
    List<Long> pids = args.getList("node_pid");
    try (CallerClient client = CallerClient.start()) {
      List<LoadTarget> targets = new ArrayList<>();
      addTarget(targets, "direct", args.getList("direct"), client, options);
      addTarget(targets, "via", args.getList("via"), client, options);
      return runLoad(targets, options, pids);
    }
  }

  private static void addTarget(
      List<LoadTarget> targets,
      String name,
      List<String> addresses,
      CallerClient client,
      LoadOptions options) {
    if (!addresses.isEmpty()) {
      targets.add(new LoadTarget(name, addresses, client, options));
    }
  }

  private static int runLoad(List<LoadTarget> targets, LoadOptions options, List<Long> pids)
      throws InterruptedException {
    List<Thread> threads = targets.stream().map(target -> createThread(target, options)).toList();
    threads.forEach(Thread::start);
    TimeUnit.MILLISECONDS.sleep(options.warmUpMs());
    CpuMeter cpu = CpuMeter.start(pids);
    for (Thread thread : threads) {
      thread.join();
    }
    Duration nodeCpuTime = cpu.lap();
    if (!Waiting.until(DRAIN_TIMEOUT_MS, () -> targets.stream().allMatch(a -> a.pending() == 0))) {
      throw new IllegalStateException("some requests did not finish before the drain timeout");
    }
    report(targets, options, pids.isEmpty() ? Duration.ZERO : nodeCpuTime);
    return targets.stream().allMatch(a -> a.stats().incomplete() == 0) ? 0 : 1;
  }

  private static void report(List<LoadTarget> targets, LoadOptions options, Duration nodeCpuTime) {
    targets.forEach(target -> print(target, options));
    if (targets.size() == 2) {
      printOverhead(targets.get(0).stats(), targets.get(1).stats());
    }
    if (!nodeCpuTime.isZero()) {
      printCpu(targets.get(targets.size() - 1).stats(), nodeCpuTime);
    }
  }

  private static Thread createThread(LoadTarget target, LoadOptions options) {
    Runnable loop =
        options.ratePerS() > 0 ? new OpenLoop(target, options) : new ClosedLoop(target, options);
    return new Thread(loop, "load-" + target.name());
  }

  private static void print(LoadTarget target, LoadOptions options) {
    LoadStats stats = target.stats();
    System.out.printf(
        "%-6s %d answers, %.0f/s, %d not whole, %s%n",
        target.name(),
        stats.count(),
        stats.count() * MS_PER_S / options.durationMs(),
        stats.incomplete(),
        stats.outcomes());
    for (double p : PERCENTILES) {
      System.out.printf(
          "%-6s p%-5s first byte %9.3f ms   total %9.3f ms%n",
          target.name(), p, stats.firstByteMs(p), stats.totalMs(p));
    }
  }

  private static void printOverhead(LoadStats direct, LoadStats via) {
    for (double p : PERCENTILES) {
      System.out.printf(
          "added  p%-5s first byte %9.3f ms   total %9.3f ms%n",
          p, via.firstByteMs(p) - direct.firstByteMs(p), via.totalMs(p) - direct.totalMs(p));
    }
  }

  private static void printCpu(LoadStats via, Duration used) {
    double cpuMsPerRequest = (double) used.toMillis() / Math.max(1, via.count());
    System.out.printf(
        "nodes  %.3f ms of a core a request, %.0f requests/s a core%n",
        cpuMsPerRequest, MS_PER_S / cpuMsPerRequest);
  }
}
