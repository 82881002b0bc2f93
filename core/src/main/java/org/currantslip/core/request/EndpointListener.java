package org.currantslip.core.request;

import com.google.protobuf.ByteString;

/** Receives the events of one call: a head, then data, then either an end or a failure. */
public interface EndpointListener {
  /** Called when the response head has arrived. */
  void onHead(EndpointResponseHead head);

  /** Called for each complete unit: one server-sent event, or the whole body. */
  void onData(ByteString data);

  /** Called when the response is complete. */
  void onEnd(EndpointUsage usage);

  /** Called when the call has failed. */
  void onFailure(CallFailure failure, String detail);
}
