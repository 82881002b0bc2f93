package org.currantslip.adapter.endpoint;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointResponseHead;
import org.currantslip.core.request.EndpointUsage;
import org.junit.jupiter.api.Test;

final class SerialEventsTest {
  @Test
  void deliversEventsInOrderOnReorderingExecutor() {
    Deque<Runnable> taskStack = new ArrayDeque<>();
    RecordingListener listener = new RecordingListener();
    OrderedEventDispatcher events = OrderedEventDispatcher.create(taskStack::push, listener);
    events.head(EndpointResponseHead.of(200, "", "c"));
    events.data(ByteString.EMPTY);
    events.end(EndpointUsage.none());
    taskStack.forEach(Runnable::run);
    assertThat(listener.receivedEvents).containsExactly("head", "data", "end").inOrder();
  }

  private static final class RecordingListener implements EndpointListener {
    private final List<String> receivedEvents = new ArrayList<>();

    @Override
    public void onHead(EndpointResponseHead head) {
      receivedEvents.add("head");
    }

    @Override
    public void onData(ByteString data) {
      receivedEvents.add("data");
    }

    @Override
    public void onEnd(EndpointUsage usage) {
      receivedEvents.add("end");
    }

    @Override
    public void onFailure(CallFailure failure, String detail) {
      receivedEvents.add("failure");
    }
  }
}
