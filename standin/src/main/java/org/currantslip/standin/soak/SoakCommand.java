package org.currantslip.standin.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The fault soak as a subcommand. */
public final class SoakCommand {
  private SoakCommand() {}

  /** Declares the arguments. */
  public static void declare(Subparser parser) {
    parser.help("harm a small fleet at random and check what callers and endpoints see");
    parser.addArgument("--seed").type(Long.class).required(true).help("first seed");
    parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("seeds to play");
    parser.addArgument("--seconds").type(Integer.class).setDefault(20).help("faults in each");
    parser.addArgument("--nodes").type(Integer.class).setDefault(3).help("nodes in each");
    parser.addArgument("--node-jar").required(true).help("program of the nodes");
    parser.addArgument("--out").required(true).help("directory for settings and logs");
  }

  /** Plays the seeds; returns 1 when a promise was broken. */
  public static int run(Namespace args) throws Exception {
    Path jar = Path.of(args.getString("node_jar"));
    long first = args.getLong("seed");
    boolean broken = false;
    for (long seed : LongStream.range(first, first + args.getInt("seeds")).toArray()) {
      Path dir = Path.of(args.getString("out"), "seed-" + seed);
      List<String> found = Soak.play(seed, args.getInt("seconds"), args.getInt("nodes"), jar, dir);
      found.forEach(f -> System.out.println("seed " + seed + " BROKEN " + f));
      broken |= !found.isEmpty();
    }
    System.out.println(broken ? "some promise was broken" : "no promise was broken");
    return broken ? 1 : 0;
  }
}
