package org.currantslip.core.request;

import com.google.protobuf.ByteString;

/** Where the answer of a request goes. Calls come in order: head, data, finish. */
public interface CallerSink {
  /** Starts the answer. */
  void head(AnswerHead head);

  /** Sends one unit: the payload of one server-sent event, or the whole body. */
  void data(ByteString data);

  /** Ends the answer; the fields are those of the head, with the final code and {@code ran}. */
  void finish(AnswerHead end);
}
