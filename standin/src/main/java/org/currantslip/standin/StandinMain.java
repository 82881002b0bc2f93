package org.currantslip.standin;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.currantslip.core.common.RefusalException;
import org.currantslip.standin.demo.DemoCommands;
import org.currantslip.standin.load.LoadCommand;
import org.currantslip.standin.soak.SoakCommand;

/** Entry point of the stand-ins: fakes of the platform and of endpoints, and a load driver. */
public final class StandinMain {
  private static final int EXIT_USAGE = 2;

  private StandinMain() {}

  /** Runs one subcommand and exits with its code. */
  public static void main(String[] args) throws Exception {
    System.setProperty("logback.configurationFile", "standin-logback.xml");
    System.exit(run(args));
  }

  private static int run(String[] args) throws Exception {
    ArgumentParser parser =
        ArgumentParsers.newFor("currantslip-standin")
            .build()
            .description("Stand-ins of the platform and of endpoints, and a load driver.");
    Subparsers subparsers = parser.addSubparsers().title("subcommands").metavar("COMMAND");
    StandinCommands.addParsers(subparsers);
    Subparser demo = subparsers.addParser("demo");
    DemoCommands.declare(demo);
    demo.setDefault("run", (StandinCommand) DemoCommands::run);
    Subparser load = subparsers.addParser("load");
    LoadCommand.declare(load);
    load.setDefault("run", (StandinCommand) LoadCommand::run);
    Subparser soak = subparsers.addParser("soak");
    SoakCommand.declare(soak);
    soak.setDefault("run", (StandinCommand) SoakCommand::run);
    try {
      Namespace parsed = parser.parseArgs(args);
      StandinCommand command = parsed.get("run");
      return command.run(parsed);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return EXIT_USAGE;
    } catch (RefusalException e) {
      System.err.println(e.code().number() + " " + e.code() + ": " + e.detail());
      return EXIT_USAGE;
    }
  }
}
