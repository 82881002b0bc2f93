package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;

/** Records the response to a forwarded request. */
final class ForwardedResponseSink implements CallerSink {
  private final List<AnswerHead> heads = new ArrayList<>();
  private final StringBuilder data = new StringBuilder();
  private final List<AnswerHead> ends = new ArrayList<>();

  @Override
  public void head(AnswerHead head) {
    heads.add(head);
  }

  @Override
  public void data(ByteString part) {
    data.append(part.toStringUtf8());
  }

  @Override
  public void finish(AnswerHead end) {
    ends.add(end);
  }

  int headCount() {
    return heads.size();
  }

  AnswerHead firstHead() {
    return heads.get(0);
  }

  int status() {
    return firstHead().httpStatus();
  }

  String text() {
    return data.toString();
  }

  AnswerHead end() {
    return ends.get(0);
  }
}
