package org.currantslip.adapter.endpoint;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointHead;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointUsage;
import org.junit.jupiter.api.Test;

final class SerialEventsTest {
  @Test
  void keepsTheOrderThatAnExecutorLoses() {
    Deque<Runnable> newestFirst = new ArrayDeque<>();
    Recorder recorder = new Recorder();
    SerialEvents events = SerialEvents.create(newestFirst::push, recorder);
    events.head(EndpointHead.of(200, "", "c"));
    events.data(ByteString.EMPTY);
    events.end(EndpointUsage.none());
    newestFirst.forEach(Runnable::run);
    assertThat(recorder.seen).containsExactly("head", "data", "end").inOrder();
  }

  private static final class Recorder implements EndpointListener {
    private final List<String> seen = new ArrayList<>();

    @Override
    public void onHead(EndpointHead head) {
      seen.add("head");
    }

    @Override
    public void onData(ByteString data) {
      seen.add("data");
    }

    @Override
    public void onEnd(EndpointUsage usage) {
      seen.add("end");
    }

    @Override
    public void onFailure(CallFailure failure, String detail) {
      seen.add("failure");
    }
  }
}
