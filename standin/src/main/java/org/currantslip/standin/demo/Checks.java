package org.currantslip.standin.demo;

import org.currantslip.standin.caller.CallerAnswer;

/** Counts checks and states each of them. */
public final class Checks {
  private int passed;
  private int failed;

  private Checks() {}

  /** Returns an empty count. */
  public static Checks create() {
    return new Checks();
  }

  /** States a check; the detail is shown when it fails. */
  public void that(String what, boolean holds, String detail) {
    if (holds) {
      passed++;
      System.out.println("  ok    " + what);
    } else {
      failed++;
      System.out.println("  FAIL  " + what + ": " + detail);
    }
  }

  /** States a check of an answer. */
  public void that(String what, boolean holds, CallerAnswer answer) {
    that(what, holds, answer.describe());
  }

  /** Prints the counts for the calling script and returns the exit code. */
  public int finish() {
    System.out.println("checks " + passed + " " + failed);
    return failed == 0 ? 0 : 1;
  }
}
