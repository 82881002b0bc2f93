package org.currantslip.cli;

import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.currantslip.core.common.ResultCode;

/** Parses the command line and runs the selected command. */
final class Cli {
  private static final String SETTINGS_VARIABLE = "CURRANTSLIP_SETTINGS";
  private static final String TEXT = "text";
  private static final String JSON = "json";
  private static final String SETTINGS_FILE = "currantslip.toml";

  private final ImmutableList<Command> commands;
  private final PrintStream out;
  private final PrintStream err;
  private final Map<String, String> environment;

  private Cli(
      ImmutableList<Command> commands,
      PrintStream out,
      PrintStream err,
      Map<String, String> environment) {
    this.commands = commands;
    this.out = out;
    this.err = err;
    this.environment = environment;
  }

  static Cli create(PrintStream out, PrintStream err, Map<String, String> environment) {
    return new Cli(commands(), out, err, environment);
  }

  static ImmutableList<Command> commands() {
    return ImmutableList.of(
        new CheckCommand(),
        new ApplyCommand(),
        new DiffCommand(),
        new WhyCommand(),
        new UsageCommand(),
        new StatusCommand(),
        new DrainCommand(),
        new RolloutCommand(),
        new BurnCommand(),
        new AuditCommand(),
        new CodesCommand(),
        new EventsCommand());
  }

  /** Runs a command line and returns its exit code. */
  int run(String... args) {
    ArgumentParser parser = newParser();
    try {
      return run(parser.parseArgs(args)).number();
    } catch (HelpScreenException e) {
      return ExitCode.OK.number();
    } catch (ArgumentParserException e) {
      parser.handleError(e, new PrintWriter(err, true, StandardCharsets.UTF_8));
      return ExitCode.USAGE.number();
    }
  }

  private ExitCode run(Namespace args) {
    boolean json = args.getString("output").equals(JSON);
    Output output = Output.create(out, err, json);
    Command command = args.get("command");
    try (CliContext context = CliContext.create(output, settingsFile(args))) {
      return command.run(args, context);
    } catch (CliException e) {
      output.error(e);
      return ExitCode.of(e.code());
    } catch (Exception e) {
      output.error(CliException.of(ResultCode.INTERNAL, e.toString()));
      return ExitCode.INTERNAL;
    }
  }

  private String settingsFile(Namespace args) {
    String named = args.getString("settings");
    return named == null ? environment.getOrDefault(SETTINGS_VARIABLE, SETTINGS_FILE) : named;
  }

  private ArgumentParser newParser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("currantslip")
            .build()
            .defaultHelp(true)
            .description("Operates a currantslip deployment.")
            .epilog(
                commands.stream()
                    .map(c -> "Example: " + c.example() + "\n")
                    .collect(Collectors.joining()));
    addCommonArguments(parser);
    parser.setDefault("output", TEXT);
    Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
    for (Command command : commands) {
      Subparser subparser =
          subparsers
              .addParser(command.name())
              .help(command.help())
              .description(command.help())
              .epilog("Example: " + command.example())
              .setDefault("command", command);
      addCommonArguments(subparser);
      command.addArguments(subparser);
    }
    return parser;
  }

  /** Adds the options that are accepted both before and after the command name. */
  private static void addCommonArguments(ArgumentParser parser) {
    parser
        .addArgument("--settings")
        .metavar("FILE")
        .setDefault(Arguments.SUPPRESS)
        .help(
            "settings file of this tool; by default $"
                + SETTINGS_VARIABLE
                + " or "
                + SETTINGS_FILE);
    parser
        .addArgument("--output")
        .choices(TEXT, JSON)
        .setDefault(Arguments.SUPPRESS)
        .help("output format; by default " + TEXT);
  }
}
