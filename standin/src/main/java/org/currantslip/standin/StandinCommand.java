package org.currantslip.standin;

import net.sourceforge.argparse4j.inf.Namespace;

/** A subcommand of the stand-in binary. */
@FunctionalInterface
interface StandinCommand {
  /** Runs the subcommand and returns the process's exit code. */
  int run(Namespace args) throws Exception;
}
