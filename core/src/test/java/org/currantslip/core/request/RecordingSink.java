package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Records the response sent to a caller. */
final class RecordingSink implements CallerSink {
  final List<ResponseHead> heads = new ArrayList<>();
  final List<String> data = new ArrayList<>();
  final List<ResponseHead> ends = new ArrayList<>();

  @Override
  public void head(ResponseHead head) {
    heads.add(head);
  }

  @Override
  public void data(ByteString bytes) {
    data.add(bytes.toStringUtf8());
  }

  @Override
  public void finish(ResponseHead end) {
    ends.add(end);
  }

  /** Returns the final fields, or null while the response is incomplete. */
  @Nullable ResponseHead end() {
    return ends.isEmpty() ? null : ends.get(0);
  }

  boolean isEnded() {
    return !ends.isEmpty();
  }
}
