package org.currantslip.adapter.engine;

/**
 * An idempotent command to a model engine.
 *
 * @param kind kind of command
 * @param model model name
 * @param version version of the model
 * @param fencingNumber fencing number of the lease under which the command is issued
 */
public record EngineOrder(Kind kind, String model, String version, long fencingNumber) {
  /** Kinds of commands. */
  public enum Kind {
    LOAD("load"),
    UNLOAD("unload"),
    ROLE("role");

    private final String text;

    Kind(String text) {
      this.text = text;
    }

    /** Returns the name of this kind on the wire. */
    public String text() {
      return text;
    }
  }
}
