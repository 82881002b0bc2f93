package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointResponseHead;
import org.currantslip.core.request.EndpointUsage;

/**
 * Delivers the events of one call to a listener in order, and none after an end, a failure or a
 * cancellation.
 *
 * <p>The events come from several threads, including the listener's own. An executor need not run
 * tasks submitted by different threads in submission order, so this class keeps the events in a
 * queue of its own.
 */
public final class OrderedEventDispatcher {
  private final Executor executor;
  private final EndpointListener listener;
  private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();
  private boolean closed;

  /** Returns an instance that delivers events to {@code listener} on {@code executor}. */
  public static OrderedEventDispatcher create(Executor executor, EndpointListener listener) {
    return new OrderedEventDispatcher(executor, listener);
  }

  private OrderedEventDispatcher(Executor executor, EndpointListener listener) {
    this.executor = executor;
    this.listener = listener;
  }

  /** Delivers the head of the response. */
  public void head(EndpointResponseHead head) {
    enqueue(false, () -> listener.onHead(head));
  }

  /** Delivers one chunk of data. */
  public void data(ByteString data) {
    enqueue(false, () -> listener.onData(data));
  }

  /** Delivers the end of the response. */
  public void end(EndpointUsage usage) {
    enqueue(true, () -> listener.onEnd(usage));
  }

  /** Delivers the failure of the call. */
  public void failure(CallFailure failure, String detail) {
    enqueue(true, () -> listener.onFailure(failure, detail));
  }

  /** Discards all undelivered and later events. Must be called on the listener's thread. */
  public void close() {
    closed = true;
  }

  private void enqueue(boolean last, Runnable event) {
    events.add(
        () -> {
          if (!closed) {
            closed = last;
            event.run();
          }
        });
    executor.execute(this::runNext);
  }

  /**
   * Runs the oldest queued event, regardless of which event the executor task was submitted for.
   */
  private void runNext() {
    Runnable event = events.poll();
    if (event != null) {
      event.run();
    }
  }
}
