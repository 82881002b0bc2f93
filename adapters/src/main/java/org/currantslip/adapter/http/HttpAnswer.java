package org.currantslip.adapter.http;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.http.HttpFields;

/**
 * A complete answer.
 *
 * @param status HTTP status
 * @param headers header fields
 * @param body whole body
 */
public record HttpAnswer(int status, HttpFields headers, ByteString body) {
  /** Returns a header's value, or an empty string. */
  public String header(String name) {
    String value = headers.get(name);
    return value == null ? "" : value;
  }
}
