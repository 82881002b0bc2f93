package org.currantslip.core.request;

import com.google.protobuf.ByteString;

/** Events of one call: a head, data, then one end or one failure. */
public interface EndpointListener {
  /** The status and media type arrived, and the correlation id the endpoint sent back. */
  void onHead(int status, String contentType, String correlation);

  /** One whole unit arrived: the payload of one server-sent event, or the whole body. */
  void onData(ByteString data);

  /** The answer is complete. */
  void onEnd(EndpointUsage usage);

  /** The call failed. */
  void onFailure(CallFailure failure, String detail);
}
