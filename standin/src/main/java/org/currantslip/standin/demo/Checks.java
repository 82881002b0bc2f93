package org.currantslip.standin.demo;

import org.currantslip.standin.caller.CallerAnswer;

/** Prints and counts the results of checks. */
public final class Checks {
  private int passed;
  private int failed;

  private Checks() {}

  /** Returns an instance without results. */
  public static Checks create() {
    return new Checks();
  }

  /** Records and prints a result; the detail is printed on failure. */
  public void that(String description, boolean success, String detail) {
    if (success) {
      passed++;
      System.out.println("  ok    " + description);
    } else {
      failed++;
      System.out.println("  FAIL  " + description + ": " + detail);
    }
  }

  /** Records and prints a result; the answer is printed on failure. */
  public void that(String description, boolean success, CallerAnswer answer) {
    that(description, success, answer.describe());
  }

  /** Prints the totals, which the calling script parses, and returns the exit code. */
  public int finish() {
    System.out.println("checks " + passed + " " + failed);
    return failed == 0 ? 0 : 1;
  }
}
