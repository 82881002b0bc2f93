package org.currantslip.cli;

/** Entry point of the command-line tool for operators. */
public final class CurrantslipMain {
  private CurrantslipMain() {}

  /** Runs the command line and exits with its exit code. */
  public static void main(String[] args) {
    System.setProperty("java.awt.headless", "true");
    System.exit(Cli.create(System.out, System.err, System.getenv()).run(args));
  }
}
