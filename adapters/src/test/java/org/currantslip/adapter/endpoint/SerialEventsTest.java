package org.currantslip.adapter.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
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

  @Test
  void demandWaitsUntilDataIsDelivered() {
    Deque<Runnable> tasks = new ArrayDeque<>();
    List<String> demands = new ArrayList<>();
    OrderedEventDispatcher events =
        OrderedEventDispatcher.create(tasks::add, new RecordingListener());
    events.data(ByteString.EMPTY);
    events.whenReadyForData(() -> demands.add("first"), tasks::add);
    assertThat(demands).containsExactly("first");
    events.data(ByteString.copyFrom(new byte[1 << 20]));
    events.whenReadyForData(() -> demands.add("second"), tasks::add);
    assertThat(demands).containsExactly("first");
    runAll(tasks);
    assertThat(demands).containsExactly("first", "second").inOrder();
  }

  @Test
  void demandWaitsWhileManySmallEventsAreUndelivered() {
    Deque<Runnable> tasks = new ArrayDeque<>();
    List<String> demands = new ArrayList<>();
    OrderedEventDispatcher events =
        OrderedEventDispatcher.create(tasks::add, new RecordingListener());
    IntStream.range(0, 10_000).forEach(i -> events.data(ByteString.EMPTY));
    events.whenReadyForData(() -> demands.add("demand"), tasks::add);
    assertThat(demands).isEmpty();
    runAll(tasks);
    assertThat(demands).containsExactly("demand");
  }

  @Test
  void otherTasksRunBetweenTheEventsOfOneCall() {
    Deque<Runnable> tasks = new ArrayDeque<>();
    RecordingListener listener = new RecordingListener();
    OrderedEventDispatcher events = OrderedEventDispatcher.create(tasks::add, listener);
    IntStream.range(0, 1_000).forEach(i -> events.data(ByteString.EMPTY));
    assertThat(tasks).hasSize(1);
    tasks.remove().run();
    assertThat(listener.receivedEvents.size()).isLessThan(1_000);
    assertThat(tasks).hasSize(1);
    runAll(tasks);
    assertThat(listener.receivedEvents).hasSize(1_000);
  }

  @Test
  void eventsAfterFailedOneAreDelivered() {
    Deque<Runnable> tasks = new ArrayDeque<>();
    RecordingListener listener = new RecordingListener();
    OrderedEventDispatcher events = OrderedEventDispatcher.create(tasks::add, listener);
    listener.failing = true;
    events.data(ByteString.EMPTY);
    events.end(EndpointUsage.none());
    assertThrows(IllegalStateException.class, tasks.remove()::run);
    runAll(tasks);
    assertThat(listener.receivedEvents).containsExactly("end");
  }

  private static void runAll(Deque<Runnable> tasks) {
    while (!tasks.isEmpty()) {
      tasks.remove().run();
    }
  }

  private static final class RecordingListener implements EndpointListener {
    private final List<String> receivedEvents = new ArrayList<>();
    private boolean failing;

    @Override
    public void onHead(EndpointResponseHead head) {
      receivedEvents.add("head");
    }

    @Override
    public void onData(ByteString data) {
      if (failing) {
        throw new IllegalStateException("data");
      }
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
