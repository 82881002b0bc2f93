package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;

/** Records the response to a forwarded request. */
final class ForwardedResponseSink implements CallerSink {
  private final List<ResponseHead> heads = new ArrayList<>();
  private final StringBuilder data = new StringBuilder();
  private final List<ResponseHead> ends = new ArrayList<>();

  @Override
  public void head(ResponseHead head) {
    heads.add(head);
  }

  @Override
  public void data(ByteString part) {
    data.append(part.toStringUtf8());
  }

  @Override
  public void finish(ResponseHead end) {
    ends.add(end);
  }

  int headCount() {
    return heads.size();
  }

  List<ResponseHead> heads() {
    return heads;
  }

  ResponseHead firstHead() {
    return heads.get(0);
  }

  int status() {
    return firstHead().httpStatus();
  }

  String text() {
    return data.toString();
  }

  ResponseHead end() {
    return ends.get(0);
  }
}
