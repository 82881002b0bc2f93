package org.currantslip.standin.http;

/** Request handler of one stand-in. */
public interface StandinApp {
  /**
   * Handles a request; a {@link org.currantslip.core.common.RefusalException} is sent as an error.
   */
  void handle(Exchange exchange);

  /** Returns whether a request belongs to the test control interface, which faults skip. */
  default boolean isControl(String method, String path) {
    return false;
  }
}
