package org.currantslip.adapter.engine;

/**
 * An idempotent command to a model engine.
 *
 * @param kind kind of command
 * @param model model name
 * @param version version of the model
 * @param fencingNumber fencing number of the lease under which the command is issued
 */
public record EngineCommand(Kind kind, String model, String version, long fencingNumber) {
  /** Kinds of commands. */
  public enum Kind {
    LOAD("load"),
    UNLOAD("unload"),
    ROLE("role");

    private final String wireName;

    Kind(String text) {
      this.wireName = text;
    }

    /** Returns the name of this kind on the wire. */
    public String wireName() {
      return wireName;
    }
  }
}
