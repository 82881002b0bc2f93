package org.currantslip.core.routing;

/** Tracks one request at one endpoint. */
public interface RequestTracker {
  /** Called when the request is sent. */
  void onStarted(long expectedTokens);

  /** Returns the time to the first token that was expected at the start; zero if unknown. */
  default double expectedFirstTokenMs() {
    return 0;
  }

  /**
   * Returns the expected time to the head of the response. A plain response has its head at its
   * end, so that this exceeds the time to the first token there.
   */
  default double expectedHeadMs() {
    return expectedFirstTokenMs();
  }

  /** Called when the first byte of the response arrives, {@code firstByteMs} after the start. */
  void onFirstByte(long firstByteMs);

  /** Called when any part of the response arrives. */
  default void onHeard() {}

  /**
   * Returns for how long the endpoint has sent nothing on any of this node's open calls; zero if
   * that is unknown.
   */
  default long endpointSilentMs() {
    return 0;
  }

  /** Called when the connection to the endpoint failed. */
  default void onConnectFailure() {}

  /** Called when the connection broke before the response was complete. */
  default void onBroken() {}

  /** Called when the endpoint refused the request for lack of room, before its end. */
  default void onNoRoom() {}

  /** Called when the request has ended at this endpoint. */
  void onFinished(CallResult result);
}
