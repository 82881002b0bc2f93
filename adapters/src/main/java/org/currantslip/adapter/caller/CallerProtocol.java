package org.currantslip.adapter.caller;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.currantslip.core.common.Ran;
import org.currantslip.core.request.AnswerHead;
import org.eclipse.jetty.http.HttpFields;

/** How a protocol reads requests and writes answers; the front door does everything else. */
public interface CallerProtocol {
  /**
   * Checks the head of a request.
   *
   * @throws org.currantslip.core.common.RefusalException if the request cannot be accepted
   */
  PendingRequest read(RequestHead head);

  /** Returns what may be said of a request that is refused before it was started. */
  Ran ranWhenRefused(HttpFields fields);

  /** Fills in the header fields of an answer. */
  void writeHead(AnswerHead head, HttpFields.Mutable fields);

  /** Returns one unit of a stream as it is sent. */
  ByteString event(ByteString unit);

  /** Returns the body of a refusal. */
  ByteString refusal(AnswerHead end);

  /** Returns what ends a stream; empty if the stream has to be broken off. */
  Optional<ByteString> streamEnd(AnswerHead end);
}
