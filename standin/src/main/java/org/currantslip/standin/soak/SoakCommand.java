package org.currantslip.standin.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The subcommand that runs the fault soak. */
public final class SoakCommand {
  private SoakCommand() {}

  /** Declares the command-line arguments. */
  public static void declare(Subparser parser) {
    parser.help("inject random faults into a small fleet and check what callers and endpoints see");
    parser.addArgument("--seed").type(Long.class).required(true).help("first seed");
    parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("number of seeds to run");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(20)
        .help("seconds of faults per seed");
    parser.addArgument("--nodes").type(Integer.class).setDefault(3).help("number of nodes");
    addFlag(parser, "--calm", "leave out the default faults of processes and connections");
    addFlag(parser, "--pauses", "let endpoints fall silent and go on");
    addFlag(parser, "--crashing-requests", "send requests that crash each endpoint");
    addFlag(parser, "--changes", "change the configuration, settings and processes in series");
    parser.addArgument("--node-jar").required(true).help("jar file of the node");
    parser.addArgument("--out").required(true).help("directory for settings and logs");
  }

  private static void addFlag(Subparser parser, String name, String help) {
    parser.addArgument(name).action(Arguments.storeTrue()).help(help);
  }

  /** Runs the seeds; returns 1 if a guarantee was violated, otherwise 0. */
  public static int run(Namespace args) throws Exception {
    Path jar = Path.of(args.getString("node_jar"));
    long first = args.getLong("seed");
    SoakOptions options =
        new SoakOptions(
            args.getInt("seconds"),
            args.getInt("nodes"),
            args.getBoolean("calm"),
            args.getBoolean("pauses"),
            args.getBoolean("crashing_requests"),
            args.getBoolean("changes"));
    boolean violated = false;
    for (long seed : LongStream.range(first, first + args.getInt("seeds")).toArray()) {
      Path dir = Path.of(args.getString("out"), "seed-" + seed);
      List<String> violations = Soak.runSeed(seed, options, jar, dir);
      violations.forEach(f -> System.out.println("seed " + seed + " BROKEN " + f));
      violated |= !violations.isEmpty();
    }
    System.out.println(violated ? "some guarantee was violated" : "no guarantee was violated");
    return violated ? 1 : 0;
  }
}
