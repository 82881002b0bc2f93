package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointHead;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointUsage;

/**
 * Hands events to a listener on its thread, and none after an end, a failure or a cancel.
 *
 * <p>Events of one call come from several threads, the listener's own among them, and an executor
 * need not keep the order of tasks from different threads; so the order is kept here.
 */
public final class SerialEvents {
  private final Executor executor;
  private final EndpointListener listener;
  private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();
  private boolean closed;

  /** Returns events for one call; they reach {@code listener} on {@code executor}. */
  public static SerialEvents create(Executor executor, EndpointListener listener) {
    return new SerialEvents(executor, listener);
  }

  private SerialEvents(Executor executor, EndpointListener listener) {
    this.executor = executor;
    this.listener = listener;
  }

  /** Passes on the head of the answer. */
  public void head(EndpointHead head) {
    post(false, () -> listener.onHead(head));
  }

  /** Passes on one unit of data. */
  public void data(ByteString data) {
    post(false, () -> listener.onData(data));
  }

  /** Passes on the end of the answer. */
  public void end(EndpointUsage usage) {
    post(true, () -> listener.onEnd(usage));
  }

  /** Passes on that the call failed. */
  public void failure(CallFailure failure, String detail) {
    post(true, () -> listener.onFailure(failure, detail));
  }

  /** Drops every later event; called on the listener's thread. */
  public void close() {
    closed = true;
  }

  private void post(boolean last, Runnable event) {
    events.add(
        () -> {
          if (!closed) {
            closed = last;
            event.run();
          }
        });
    executor.execute(this::runNext);
  }

  /** Runs the oldest event, whichever event's turn the executor thinks it is. */
  private void runNext() {
    Runnable event = events.poll();
    if (event != null) {
      event.run();
    }
  }
}
