package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Records the response sent to a caller. */
final class RecordingSink implements CallerSink {
  final List<AnswerHead> heads = new ArrayList<>();
  final List<String> data = new ArrayList<>();
  final List<AnswerHead> ends = new ArrayList<>();

  @Override
  public void head(AnswerHead head) {
    heads.add(head);
  }

  @Override
  public void data(ByteString bytes) {
    data.add(bytes.toStringUtf8());
  }

  @Override
  public void finish(AnswerHead end) {
    ends.add(end);
  }

  /** Returns the final fields, or null while the response is incomplete. */
  @Nullable AnswerHead end() {
    return ends.isEmpty() ? null : ends.get(0);
  }

  boolean isEnded() {
    return !ends.isEmpty();
  }
}
