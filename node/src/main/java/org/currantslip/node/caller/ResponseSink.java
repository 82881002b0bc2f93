package org.currantslip.node.caller;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.currantslip.adapter.caller.CallerProtocol;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.ResponseHead;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes one answer to a caller, as a stream or as a whole body.
 *
 * <p>What the caller has not read yet waits here, up to a bound; a caller that falls further behind
 * is cut off.
 */
final class ResponseSink implements CallerSink {
  private static final byte[] NOTHING = {};

  private record Unit(ByteBuffer bytes, boolean last) {}

  private final CallerProtocol protocol;
  private final Response response;
  private final Callback callback;
  private final Runnable onLost;
  private final long maxPendingBytes;
  private final ArrayDeque<Unit> pending = new ArrayDeque<>();
  private long pendingBytes;
  private boolean writing;
  private boolean lost;
  private boolean finished;
  private boolean streaming;
  private boolean breaking;
  private ByteString body = ByteString.EMPTY;
  private @Nullable HangUpWatch watch;

  private ResponseSink(
      CallerProtocol protocol,
      Response response,
      Callback callback,
      long maxPendingBytes,
      Runnable onLost) {
    this.protocol = protocol;
    this.response = response;
    this.callback = callback;
    this.maxPendingBytes = maxPendingBytes;
    this.onLost = onLost;
  }

  /** Returns a sink; {@code onLost} runs once when the caller can no longer be reached. */
  static ResponseSink create(
      CallerProtocol protocol,
      Response response,
      Callback callback,
      long maxPendingBytes,
      Runnable onLost) {
    return new ResponseSink(protocol, response, callback, maxPendingBytes, onLost);
  }

  @Override
  public synchronized void head(ResponseHead head) {
    streaming = head.stream();
    if (streaming) {
      start(head);
      // Otherwise an answer on a connection about to close ends with it, broken off or not.
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
      add(NOTHING, false);
    }
  }

  @Override
  public synchronized void data(ByteString data) {
    if (streaming) {
      add(protocol.encodeChunk(data).toByteArray(), false);
    } else {
      body = body.concat(data);
    }
  }

  @Override
  public synchronized void finish(ResponseHead end) {
    if (finished) {
      return;
    }
    finished = true;
    if (streaming) {
      protocol
          .streamEnd(end)
          .ifPresentOrElse(bytes -> add(bytes.toByteArray(), true), this::breakOff);
    } else if (body.isEmpty() && end.code() != ResultCode.OK) {
      start(end);
      add(protocol.refusalBody(end).toByteArray(), true);
    } else {
      start(end);
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.size());
      add(body.toByteArray(), true);
    }
  }

  /** Closes the connection after what waits was written, without the end of the answer. */
  private void breakOff() {
    breaking = true;
    if (!writing && pending.isEmpty()) {
      abort();
    }
  }

  private void abort() {
    response.getRequest().getConnectionMetaData().getConnection().getEndPoint().close();
    callback.failed(new IllegalStateException("the answer is broken off"));
  }

  /** Sets the watch that has to end before the answer does. */
  synchronized void watch(HangUpWatch started) {
    watch = started;
  }

  /** Returns whether bytes wait for the caller to read. */
  synchronized boolean isWriting() {
    return writing;
  }

  /** Notes that the connection broke. */
  void lose() {
    synchronized (this) {
      if (lost) {
        return;
      }
      lost = true;
      pending.clear();
      pendingBytes = 0;
      if (finished) {
        return;
      }
    }
    onLost.run();
  }

  private void start(ResponseHead head) {
    response.setStatus(head.httpStatus());
    protocol.writeHead(head, response.getHeaders());
  }

  private void add(byte[] bytes, boolean last) {
    if (lost) {
      if (last) {
        callback.failed(new IllegalStateException("the caller hung up"));
      }
      return;
    }
    if (streaming && pendingBytes + bytes.length > maxPendingBytes) {
      pending.clear();
      response.getRequest().getConnectionMetaData().getConnection().getEndPoint().close();
      lost = true;
      if (!finished) {
        onLost.run();
      }
      return;
    }
    pending.add(new Unit(ByteBuffer.wrap(bytes), last));
    pendingBytes += bytes.length;
    writeNext();
  }

  /** Writes all that waits at once, so that a caller that catches up costs one write. */
  private void writeNext() {
    if (writing || pending.isEmpty()) {
      return;
    }
    writing = true;
    boolean last = pending.getLast().last();
    ByteBuffer bytes = pending.size() == 1 ? pending.getFirst().bytes() : joined();
    pending.clear();
    if (last && watch != null) {
      watch.stop();
    }
    int size = bytes.remaining();
    response.write(last, bytes, Callback.from(() -> onWritten(size, last), this::onWriteFailed));
  }

  private ByteBuffer joined() {
    int size = pending.stream().mapToInt(unit -> unit.bytes().remaining()).sum();
    ByteBuffer all = ByteBuffer.allocate(size);
    pending.forEach(unit -> all.put(unit.bytes()));
    return all.flip();
  }

  private void onWritten(int size, boolean last) {
    synchronized (this) {
      writing = false;
      pendingBytes -= size;
      writeNext();
      if (breaking && !writing) {
        abort();
      }
    }
    if (last) {
      callback.succeeded();
    }
  }

  private void onWriteFailed(Throwable failure) {
    boolean done;
    synchronized (this) {
      writing = false;
      done = finished;
    }
    lose();
    if (done) {
      callback.failed(failure);
    }
  }
}
