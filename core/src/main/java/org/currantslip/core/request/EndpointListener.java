package org.currantslip.core.request;

import com.google.protobuf.ByteString;

/** Events of one call: a head, data, then one end or one failure. */
public interface EndpointListener {
  /** The head of the answer arrived. */
  void onHead(EndpointHead head);

  /** One whole unit arrived: one server-sent event, or the whole body. */
  void onData(ByteString data);

  /** The answer is complete. */
  void onEnd(EndpointUsage usage);

  /** The call failed. */
  void onFailure(CallFailure failure, String detail);
}
