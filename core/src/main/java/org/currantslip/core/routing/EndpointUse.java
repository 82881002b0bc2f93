package org.currantslip.core.routing;

/** Tracks one request at one endpoint. */
public interface EndpointUse {
  /** Called when the request is sent. */
  void started(long expectedTokens);

  /** Called when the first byte of the response arrives, {@code firstByteMs} after the start. */
  void answering(long firstByteMs);

  /** Called when the connection to the endpoint failed. */
  default void unreachable() {}

  /** Called when the request has ended at this endpoint. */
  void finished(CallResult result);
}
