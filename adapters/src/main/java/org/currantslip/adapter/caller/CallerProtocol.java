package org.currantslip.adapter.caller;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.currantslip.core.common.Ran;
import org.currantslip.core.request.ResponseHead;
import org.eclipse.jetty.http.HttpFields;

/** Protocol-specific parsing of caller requests and encoding of responses. */
public interface CallerProtocol {
  /**
   * Checks the head of a request.
   *
   * @throws org.currantslip.core.common.RefusalException if the request cannot be accepted
   */
  PendingRequest read(RequestHead head);

  /** Returns the execution status to report for a request that is refused before it starts. */
  Ran executionStateOfRefusal(HttpFields fields);

  /** Adds the header fields of a response. */
  void writeHead(ResponseHead head, HttpFields.Mutable fields);

  /** Encodes one chunk of a streamed response. */
  ByteString encodeChunk(ByteString chunk);

  /** Returns the response body for a refused request. */
  ByteString refusalBody(ResponseHead result);

  /** Returns the bytes that end a stream, or empty if the connection has to be aborted instead. */
  Optional<ByteString> streamEnd(ResponseHead result);
}
