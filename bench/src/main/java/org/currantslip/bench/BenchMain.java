package org.currantslip.bench;

/** Placeholder entry point. */
public final class BenchMain {
  private BenchMain() {}

  /** Prints the name of this module. */
  public static void main(String[] args) {
    System.out.println("bench");
  }
}
