package org.currantslip.core.routing;

/** One request at one endpoint, counted against that endpoint. */
public interface EndpointUse {
  /** The request is sent. */
  void started(long expectedTokens);

  /** The endpoint answers: its first byte came after {@code firstByteMs}. */
  void answering(long firstByteMs);

  /** The endpoint could not be connected to. */
  default void unreachable() {}

  /** The request is over at this endpoint. */
  void finished(CallResult result);
}
