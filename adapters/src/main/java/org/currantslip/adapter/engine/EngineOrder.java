package org.currantslip.adapter.engine;

/**
 * An order to a model engine; repeating it has no further effect.
 *
 * @param kind what to do
 * @param model model name
 * @param version version of the model
 * @param fencingNumber number of the lease under which the order is given
 */
public record EngineOrder(Kind kind, String model, String version, long fencingNumber) {
  /** What an engine can be told. */
  public enum Kind {
    LOAD("load"),
    UNLOAD("unload"),
    ROLE("role");

    private final String text;

    Kind(String text) {
      this.text = text;
    }

    /** Returns the word used in the order. */
    public String text() {
      return text;
    }
  }
}
