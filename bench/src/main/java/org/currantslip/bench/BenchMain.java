package org.currantslip.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.currantslip.bench.cascade.CascadeBench;
import org.currantslip.bench.config.ConfigSpreadBench;
import org.currantslip.bench.cost.CostBench;
import org.currantslip.bench.exposure.ExposureBench;
import org.currantslip.bench.ledger.LedgerBench;
import org.currantslip.bench.ledger.UsageBench;
import org.currantslip.bench.membership.MembershipBench;

/** Command-line entry point that runs one experiment by name. */
public final class BenchMain {
  private static final List<Bench> BENCHES =
      List.of(
          CascadeBench.create(),
          ConfigSpreadBench.create(),
          CostBench.create(),
          ExposureBench.create(),
          LedgerBench.create(),
          MembershipBench.create(),
          UsageBench.create());

  private BenchMain() {}

  /** Parses the command line, runs the experiment for each seed, prints and stores its tables. */
  public static void main(String[] args) throws IOException {
    System.setProperty("java.awt.headless", "true");
    ArgumentParser parser =
        ArgumentParsers.newFor("bench").build().description("Runs one experiment.");
    parser.addArgument("name").choices(BENCHES.stream().map(Bench::name).toList());
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the first run");
    parser
        .addArgument("--seeds")
        .type(Integer.class)
        .setDefault(1)
        .help("number of runs, with consecutive seeds");
    parser
        .addArgument("--out")
        .setDefault("target/bench")
        .help("output directory for CSV and PNG files");
    try {
      Namespace parsed = parser.parseArgs(args);
      run(parsed);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(2);
    }
  }

  private static void run(Namespace parsed) throws IOException {
    Bench bench =
        BENCHES.stream()
            .filter(candidate -> candidate.name().equals(parsed.getString("name")))
            .findFirst()
            .orElseThrow();
    long firstSeed = parsed.getLong("seed");
    for (long seed = firstSeed; seed < firstSeed + parsed.getInt("seeds"); seed++) {
      Path outDir = Path.of(parsed.getString("out"), bench.name(), "seed-" + seed);
      Files.createDirectories(outDir);
      System.out.println("seed " + seed);
      for (ResultTable table : bench.run(seed, outDir)) {
        System.out.println(table.toText());
        Files.writeString(outDir.resolve(fileName(table)), table.toCsv());
      }
    }
  }

  private static String fileName(ResultTable table) {
    return table.title().toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "-") + ".csv";
  }
}
