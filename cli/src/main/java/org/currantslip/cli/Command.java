package org.currantslip.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One subcommand. */
interface Command {
  /** Returns the word that selects the command. */
  String name();

  /** Returns one line that says what it does. */
  String help();

  /** Returns an example of its use. */
  String example();

  /** Declares its arguments. */
  void declare(Subparser parser);

  /**
   * Runs it.
   *
   * @throws Exception a {@link CliException} for what the operator can mend, others for faults
   */
  ExitCode run(Namespace args, CliContext context) throws Exception;
}
