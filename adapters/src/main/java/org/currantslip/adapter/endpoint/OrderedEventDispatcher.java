package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointResponseHead;
import org.currantslip.core.request.EndpointUsage;
import org.jspecify.annotations.Nullable;

/**
 * Delivers the events of one call to a listener in order, and none after an end, a failure or a
 * cancellation.
 *
 * <p>The events come from several threads, including the listener's own. An executor need not run
 * tasks submitted by different threads in submission order, so this class keeps the events in a
 * queue of its own. At most one task at a time is submitted, and it runs a limited number of
 * events, so that a call with many events delays others little.
 */
public final class OrderedEventDispatcher {
  private static final long MAX_PENDING_BYTES = 256 << 10;
  private static final int EVENT_OVERHEAD_BYTES = 128;
  private static final int BATCH_SIZE = 64;

  private final Executor executor;
  private final EndpointListener listener;
  private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();
  private final AtomicInteger eventCount = new AtomicInteger();
  private final AtomicLong pendingBytes = new AtomicLong();
  private final AtomicReference<@Nullable Runnable> waitingDemand = new AtomicReference<>();
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
    long cost = data.size() + EVENT_OVERHEAD_BYTES;
    pendingBytes.addAndGet(cost);
    enqueue(
        false,
        () -> {
          release(cost);
          listener.onData(data);
        });
  }

  /**
   * Runs {@code demand} at once if little data is undelivered, otherwise on {@code demandExecutor}
   * after enough of it was delivered. One demand may wait at a time.
   */
  public void whenReadyForData(Runnable demand, Executor demandExecutor) {
    if (isReadyForData()) {
      demand.run();
      return;
    }
    waitingDemand.set(() -> demandExecutor.execute(demand));
    if (isReadyForData()) {
      runWaitingDemand();
    }
  }

  private boolean isReadyForData() {
    return pendingBytes.get() < MAX_PENDING_BYTES;
  }

  private void release(long bytes) {
    pendingBytes.addAndGet(-bytes);
    if (isReadyForData()) {
      runWaitingDemand();
    }
  }

  private void runWaitingDemand() {
    Runnable demand = waitingDemand.getAndSet(null);
    if (demand != null) {
      demand.run();
    }
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
    if (eventCount.getAndIncrement() == 0) {
      executor.execute(this::runBatch);
    }
  }

  private void runBatch() {
    int batch = Math.min(eventCount.get(), BATCH_SIZE);
    int taken = 0;
    try {
      while (taken < batch) {
        taken++;
        runNext();
      }
    } finally {
      if (eventCount.addAndGet(-taken) > 0) {
        executor.execute(this::runBatch);
      }
    }
  }

  private void runNext() {
    Runnable event = events.poll();
    if (event != null) {
      event.run();
    }
  }
}
