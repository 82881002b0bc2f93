package org.currantslip.standin;

/** Placeholder entry point. */
public final class StandinMain {
  private StandinMain() {}

  /** Prints the name of this module. */
  public static void main(String[] args) {
    System.out.println("standin");
  }
}
