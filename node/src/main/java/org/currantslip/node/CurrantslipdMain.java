package org.currantslip.node;

/** Placeholder entry point. */
public final class CurrantslipdMain {
  private CurrantslipdMain() {}

  /** Prints the name of this module. */
  public static void main(String[] args) {
    System.out.println("node");
  }
}
