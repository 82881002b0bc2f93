package org.currantslip.standin;

import net.sourceforge.argparse4j.inf.Namespace;

/** A subcommand of the stand-in program. */
@FunctionalInterface
interface StandinCommand {
  /** Runs the subcommand and returns the exit code of the process. */
  int run(Namespace args) throws Exception;
}
