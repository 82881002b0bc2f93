package org.currantslip.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A subcommand of the tool. */
interface Command {
  /** Returns the name that selects the command on the command line. */
  String name();

  /** Returns a one-line description. */
  String help();

  /** Returns an example command line. */
  String example();

  /** Adds the command's arguments to its parser. */
  void addArguments(Subparser parser);

  /**
   * Runs the command.
   *
   * @throws Exception a {@link CliException} for failures reported to the operator; any other for
   *     internal errors
   */
  ExitCode run(Namespace args, CliContext context) throws Exception;
}
