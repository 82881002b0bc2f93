package org.currantslip.core.request;

import com.google.protobuf.ByteString;

/** Receives the response to a request. Methods are called in the order head, data, finish. */
public interface CallerSink {
  /** Returns whether no response can reach the caller any more; may be called on any thread. */
  default boolean isAbandoned() {
    return false;
  }

  /** Returns how many bytes of the response the caller has not read yet. */
  default long backlogBytes() {
    return 0;
  }

  /** Starts the response. */
  void head(ResponseHead head);

  /** Sends one unit: the payload of one server-sent event, or the whole body. */
  void data(ByteString data);

  /** Ends the response. The fields equal those of the head, with the final code and {@code ran}. */
  void finish(ResponseHead end);
}
