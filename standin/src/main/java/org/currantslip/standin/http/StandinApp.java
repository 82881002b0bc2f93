package org.currantslip.standin.http;

/** What one stand-in does with a request. */
public interface StandinApp {
  /**
   * Handles a request; a {@link org.currantslip.core.common.RefusalException} becomes its answer.
   */
  void handle(Exchange exchange);

  /** Returns whether this is a test's own switch or counter, which no fault may touch. */
  default boolean isControl(String method, String path) {
    return false;
  }
}
