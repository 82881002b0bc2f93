package org.currantslip.cli;

/** Placeholder entry point. */
public final class CurrantslipMain {
  private CurrantslipMain() {}

  /** Prints the name of this module. */
  public static void main(String[] args) {
    System.out.println("cli");
  }
}
