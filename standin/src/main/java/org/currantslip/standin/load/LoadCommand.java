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

/** Sends load through nodes, straight to endpoints, or both at once to compare them. */
public final class LoadCommand {
  private static final long DRAIN_MS = 60_000;
  private static final double[] PERCENTILES = {50, 90, 99, 99.9};
  private static final double MS_PER_S = 1000;

  private LoadCommand() {}

  /** Declares the arguments. */
  public static void declare(Subparser parser) {
    parser.help("send load and report latency, result codes and wholeness");
    parser.addArgument("--via").nargs("*").setDefault(List.of()).help("addresses of nodes");
    parser.addArgument("--direct").nargs("*").setDefault(List.of()).help("addresses of engines");
    parser.addArgument("--node-pid").nargs("*").type(Long.class).setDefault(List.of());
    parser.addArgument("--rate").type(Double.class).setDefault(0.0).help("arrivals/s on each arm");
    parser.addArgument("--in-flight").type(Integer.class).setDefault(64).help("without a rate");
    parser.addArgument("--warm-up-s").type(Integer.class).setDefault(5);
    parser.addArgument("--seconds").type(Integer.class).setDefault(15);
    parser.addArgument("--stream").action(Arguments.storeTrue());
    parser.addArgument("--model").required(true);
    parser.addArgument("--task").setDefault("default");
    parser.addArgument("--token").setDefault("");
    parser.addArgument("--seed").type(Long.class).setDefault(1L);
  }

  /** Runs the load and returns the exit code: 1 when an answer was not whole or not its own. */
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
      List<LoadArm> arms = new ArrayList<>();
      addArm(arms, "direct", args.getList("direct"), client, options);
      addArm(arms, "via", args.getList("via"), client, options);
      return drive(arms, options, pids);
    }
  }

  private static void addArm(
      List<LoadArm> arms,
      String name,
      List<String> addresses,
      CallerClient client,
      LoadOptions options) {
    if (!addresses.isEmpty()) {
      arms.add(new LoadArm(name, addresses, client, options));
    }
  }

  private static int drive(List<LoadArm> arms, LoadOptions options, List<Long> pids)
      throws InterruptedException {
    List<Thread> threads = arms.stream().map(arm -> thread(arm, options)).toList();
    threads.forEach(Thread::start);
    TimeUnit.MILLISECONDS.sleep(options.warmUpMs());
    CpuMeter cpu = CpuMeter.start(pids);
    for (Thread thread : threads) {
      thread.join();
    }
    Duration nodeTime = cpu.lap();
    if (!Waiting.until(DRAIN_MS, () -> arms.stream().allMatch(a -> a.pending() == 0))) {
      throw new IllegalStateException("some requests never ended");
    }
    report(arms, options, pids.isEmpty() ? Duration.ZERO : nodeTime);
    return arms.stream().allMatch(a -> a.stats().notWhole() == 0) ? 0 : 1;
  }

  private static void report(List<LoadArm> arms, LoadOptions options, Duration nodeTime) {
    arms.forEach(arm -> print(arm, options));
    if (arms.size() == 2) {
      printAdded(arms.get(0).stats(), arms.get(1).stats());
    }
    if (!nodeTime.isZero()) {
      printCpu(arms.get(arms.size() - 1).stats(), nodeTime);
    }
  }

  private static Thread thread(LoadArm arm, LoadOptions options) {
    Runnable loop =
        options.ratePerS() > 0 ? new OpenLoop(arm, options) : new ClosedLoop(arm, options);
    return new Thread(loop, "load-" + arm.name());
  }

  private static void print(LoadArm arm, LoadOptions options) {
    ArmStats stats = arm.stats();
    System.out.printf(
        "%-6s %d answers, %.0f/s, %d not whole, %s%n",
        arm.name(),
        stats.count(),
        stats.count() * MS_PER_S / options.lengthMs(),
        stats.notWhole(),
        stats.outcomes());
    for (double p : PERCENTILES) {
      System.out.printf(
          "%-6s p%-5s first byte %9.3f ms   total %9.3f ms%n",
          arm.name(), p, stats.firstByteMs(p), stats.totalMs(p));
    }
  }

  private static void printAdded(ArmStats direct, ArmStats via) {
    for (double p : PERCENTILES) {
      System.out.printf(
          "added  p%-5s first byte %9.3f ms   total %9.3f ms%n",
          p, via.firstByteMs(p) - direct.firstByteMs(p), via.totalMs(p) - direct.totalMs(p));
    }
  }

  private static void printCpu(ArmStats via, Duration used) {
    double cpuMsPerRequest = (double) used.toMillis() / Math.max(1, via.count());
    System.out.printf(
        "nodes  %.3f ms of a core a request, %.0f requests/s a core%n",
        cpuMsPerRequest, MS_PER_S / cpuMsPerRequest);
  }
}
