package org.currantslip.standin.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** A response of server-sent events; events added during a write are sent together after it. */
public final class EventStream {
  private final Exchange exchange;
  private final Response response;
  private final Callback callback;
  private final FaultSet faults;

  @GuardedBy("this")
  private final StringBuilder pending = new StringBuilder();

  @GuardedBy("this")
  private boolean writing;

  @GuardedBy("this")
  private boolean endRequested;

  @GuardedBy("this")
  private boolean closed;

  @GuardedBy("this")
  private int sentEvents;

  EventStream(Exchange exchange, Response response, Callback callback, FaultSet faults) {
    this.exchange = exchange;
    this.response = response;
    this.callback = callback;
    this.faults = faults;
  }

  /** Sends the head of the response before its first event. */
  public void open() {
    synchronized (this) {
      writing = true;
    }
    response.write(
        false, ByteBuffer.allocate(0), Callback.from(() -> written(false), this::writeFailed));
  }

  /** Sends one event; returns false if the stream has ended or its connection is closed. */
  public boolean send(String payload) {
    synchronized (this) {
      if (closed) {
        return false;
      }
      boolean faultHits = (faults.truncate() || faults.freeze()) && ++sentEvents > 2;
      if (faultHits) {
        closed = true;
      } else {
        pending.append("data: ").append(payload).append("\n\n");
      }
    }
    if (shouldAbort()) {
      exchange.abort();
    }
    flush();
    return true;
  }

  /** Sends the closing {@code [DONE]} event and ends the response. */
  public void end() {
    synchronized (this) {
      if (closed) {
        return;
      }
      pending.append("data: [DONE]\n\n");
      endRequested = true;
    }
    flush();
  }

  private synchronized boolean shouldAbort() {
    return closed && faults.truncate();
  }

  private void flush() {
    ByteBuffer bytes;
    boolean last;
    synchronized (this) {
      if (writing || closed || (pending.isEmpty() && !endRequested)) {
        return;
      }
      bytes = ByteBuffer.wrap(pending.toString().getBytes(StandardCharsets.UTF_8));
      pending.setLength(0);
      last = endRequested;
      writing = true;
      closed = last;
    }
    response.write(last, bytes, Callback.from(() -> written(last), this::writeFailed));
  }

  private void written(boolean last) {
    if (last) {
      callback.succeeded();
      return;
    }
    synchronized (this) {
      writing = false;
    }
    flush();
  }

  private void writeFailed(Throwable cause) {
    synchronized (this) {
      closed = true;
    }
    callback.failed(cause);
  }
}
