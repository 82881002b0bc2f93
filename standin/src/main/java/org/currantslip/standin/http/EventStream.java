package org.currantslip.standin.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** An answer of server-sent events; events that come while a write is pending go out together. */
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
  private boolean ending;

  @GuardedBy("this")
  private boolean over;

  @GuardedBy("this")
  private int sent;

  EventStream(Exchange exchange, Response response, Callback callback, FaultSet faults) {
    this.exchange = exchange;
    this.response = response;
    this.callback = callback;
    this.faults = faults;
  }

  /** Sends one payload; returns false when the other end is gone. */
  public boolean send(String payload) {
    synchronized (this) {
      if (over) {
        return false;
      }
      boolean stopsHere = (faults.truncate() || faults.freeze()) && ++sent > 2;
      if (stopsHere) {
        over = true;
      } else {
        pending.append("data: ").append(payload).append("\n\n");
      }
    }
    if (isCutNow()) {
      exchange.abort();
    }
    flush();
    return true;
  }

  /** Ends the stream with its closing mark. */
  public void end() {
    synchronized (this) {
      if (over) {
        return;
      }
      pending.append("data: [DONE]\n\n");
      ending = true;
    }
    flush();
  }

  private synchronized boolean isCutNow() {
    return over && faults.truncate();
  }

  private void flush() {
    ByteBuffer bytes;
    boolean last;
    synchronized (this) {
      if (writing || over || (pending.isEmpty() && !ending)) {
        return;
      }
      bytes = ByteBuffer.wrap(pending.toString().getBytes(StandardCharsets.UTF_8));
      pending.setLength(0);
      last = ending;
      writing = true;
      over = last;
    }
    response.write(last, bytes, Callback.from(() -> written(last), this::gone));
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

  private void gone(Throwable cause) {
    synchronized (this) {
      over = true;
    }
    callback.failed(cause);
  }
}
