package org.currantslip.adapter.http;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.http.HttpFields;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status
 * @param headers header fields
 * @param body complete body
 */
public record BufferedResponse(int status, HttpFields headers, ByteString body) {
  /** Returns the value of a header field, or an empty string if it is absent. */
  public String header(String name) {
    String value = headers.get(name);
    return value == null ? "" : value;
  }
}
