package org.currantslip.node.caller;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.currantslip.adapter.caller.CallerProtocol;
import org.currantslip.core.common.ByteBudget;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.ResponseHead;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes one response to a caller, as a stream or as a complete body.
 *
 * <p>Data that the caller has not read yet is buffered up to a limit for this response and one for
 * all responses; a caller that falls further behind is disconnected.
 */
final class ResponseSink implements CallerSink {
  private static final byte[] NO_BYTES = {};

  private record Chunk(ByteBuffer bytes, boolean last) {}

  private final CallerProtocol protocol;
  private final Response response;
  private final Callback callback;
  private final Consumer<CloseLog.Rule> onClose;
  private final Runnable onDisconnect;
  private final long maxPendingBytes;
  private final ByteBudget.Share memory;
  private final BooleanSupplier leaving;
  private final ArrayDeque<Chunk> pending = new ArrayDeque<>();
  private long pendingBytes;
  private boolean writing;
  private volatile boolean disconnected;
  private volatile boolean finished;
  private boolean streaming;
  private boolean truncating;
  private boolean completed;
  private ByteString body = ByteString.EMPTY;
  private volatile @Nullable DisconnectMonitor disconnectMonitor;

  private ResponseSink(
      CallerProtocol protocol,
      Response response,
      Callback callback,
      long maxPendingBytes,
      ByteBudget.Share memory,
      BooleanSupplier leaving,
      Consumer<CloseLog.Rule> onClose,
      Runnable onDisconnect) {
    this.protocol = protocol;
    this.response = response;
    this.callback = callback;
    this.maxPendingBytes = maxPendingBytes;
    this.memory = memory;
    this.leaving = leaving;
    this.onClose = onClose;
    this.onDisconnect = onDisconnect;
  }

  /**
   * Creates a sink.
   *
   * @param memory share of what all responses may buffer
   * @param leaving whether the caller is told to close its connection
   * @param onClose is told why this node closes the connection before the response is complete
   * @param onDisconnect runs once if the caller disconnects before the end
   */
  static ResponseSink create(
      CallerProtocol protocol,
      Response response,
      Callback callback,
      long maxPendingBytes,
      ByteBudget.Share memory,
      BooleanSupplier leaving,
      Consumer<CloseLog.Rule> onClose,
      Runnable onDisconnect) {
    return new ResponseSink(
        protocol, response, callback, maxPendingBytes, memory, leaving, onClose, onDisconnect);
  }

  /** Also notices a close that the selector thread has not read yet. */
  @Override
  public boolean isAbandoned() {
    if (disconnected || finished) {
      return true;
    }
    DisconnectMonitor monitor = disconnectMonitor;
    return monitor != null && monitor.hasClosed();
  }

  @Override
  public synchronized long backlogBytes() {
    return pendingBytes;
  }

  @Override
  public synchronized void head(ResponseHead head) {
    if (finished) {
      return;
    }
    streaming = head.stream();
    if (streaming) {
      writeHead(head);
      // Without chunked encoding, a response on a closing connection ends with the connection, so
      // that the caller cannot tell a truncated stream from a complete one.
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
      enqueue(NO_BYTES, false);
    }
  }

  @Override
  public synchronized void data(ByteString data) {
    if (finished) {
      return;
    }
    if (streaming) {
      enqueue(protocol.encodeChunk(data).toByteArray(), false);
    } else {
      body = body.concat(data);
    }
  }

  @Override
  public void finish(ResponseHead end) {
    finishIfOpen(end);
  }

  /** Ends the response; returns false if it had ended before. */
  synchronized boolean finishIfOpen(ResponseHead end) {
    if (finished) {
      return false;
    }
    finished = true;
    if (streaming) {
      protocol
          .streamEnd(end)
          .ifPresentOrElse(bytes -> enqueue(bytes.toByteArray(), true), this::truncate);
    } else if (body.isEmpty() && end.code() != ResultCode.OK) {
      writeHead(end);
      enqueue(protocol.refusalBody(end).toByteArray(), true);
    } else {
      writeHead(end);
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.size());
      byte[] bytes = body.toByteArray();
      body = ByteString.EMPTY;
      enqueue(bytes, true);
    }
    return true;
  }

  /** Closes the connection after the pending data is written, without ending the response. */
  private void truncate() {
    truncating = true;
    if (!disconnected) {
      onClose.accept(CloseLog.Rule.TRUNCATED);
    }
    if (!writing && pending.isEmpty()) {
      abort("the response was truncated");
    }
  }

  /** Closes the connection and releases the request; without that, it stays in flight. */
  private void abort(String reason) {
    response.getRequest().getConnectionMetaData().getConnection().getEndPoint().close();
    complete(() -> callback.failed(new EofException(reason)));
  }

  private void complete(Runnable completion) {
    synchronized (this) {
      if (completed) {
        return;
      }
      completed = true;
    }
    completion.run();
  }

  /** Sets the monitor that is stopped before the last part of the response is written. */
  void setDisconnectMonitor(DisconnectMonitor monitor) {
    disconnectMonitor = monitor;
  }

  /** Returns whether a write to the caller is in progress. */
  synchronized boolean isWriting() {
    return writing;
  }

  /** Called when the connection fails, by its caller or by its idle timeout. */
  void onFailure(Throwable failure) {
    synchronized (this) {
      if (!disconnected && failure instanceof TimeoutException) {
        onClose.accept(CloseLog.Rule.IDLE);
      }
    }
    markDisconnected();
  }

  /** Called when the connection is lost: discards the pending data and reports it once. */
  void markDisconnected() {
    boolean wasFinished;
    synchronized (this) {
      if (disconnected) {
        return;
      }
      disconnected = true;
      pending.clear();
      pendingBytes = 0;
      memory.release();
      wasFinished = finished;
    }
    if (!wasFinished) {
      onDisconnect.run();
    }
    abort("the caller disconnected");
  }

  private void writeHead(ResponseHead head) {
    response.setStatus(head.httpStatus());
    protocol.writeHead(head, response.getHeaders());
    if (leaving.getAsBoolean()) {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    }
  }

  private void enqueue(byte[] bytes, boolean last) {
    if (disconnected) {
      return;
    }
    boolean tooLong = streaming && pendingBytes + bytes.length > maxPendingBytes;
    if (tooLong || !memory.tryResize(pendingBytes + bytes.length)) {
      onClose.accept(CloseLog.Rule.PENDING_BYTES);
      markDisconnected();
      return;
    }
    pending.add(new Chunk(ByteBuffer.wrap(bytes), last));
    pendingBytes += bytes.length;
    writeNext();
  }

  /** Adapts the share of memory to less pending data; a disconnected caller has none. */
  private void resize() {
    if (!disconnected && !memory.tryResize(pendingBytes)) {
      throw new IllegalStateException("a smaller buffer exceeds the memory for responses");
    }
  }

  /** Writes all pending data at once, so that a slow caller catches up with a single write. */
  private void writeNext() {
    if (writing || pending.isEmpty()) {
      return;
    }
    writing = true;
    boolean last = pending.getLast().last();
    ByteBuffer bytes = pending.size() == 1 ? pending.getFirst().bytes() : mergePending();
    pending.clear();
    DisconnectMonitor monitor = disconnectMonitor;
    if (last && monitor != null) {
      monitor.stop();
    }
    int size = bytes.remaining();
    response.write(last, bytes, Callback.from(() -> onWritten(size, last), this::onWriteFailed));
  }

  private ByteBuffer mergePending() {
    int size = pending.stream().mapToInt(chunk -> chunk.bytes().remaining()).sum();
    ByteBuffer merged = ByteBuffer.allocate(size);
    pending.forEach(chunk -> merged.put(chunk.bytes()));
    return merged.flip();
  }

  private void onWritten(int size, boolean last) {
    synchronized (this) {
      writing = false;
      pendingBytes -= size;
      resize();
      writeNext();
      if (truncating && !writing) {
        abort("the response was truncated");
      }
    }
    if (last) {
      complete(callback::succeeded);
    }
  }

  private void onWriteFailed(Throwable failure) {
    synchronized (this) {
      writing = false;
    }
    onFailure(failure);
    complete(() -> callback.failed(failure));
  }
}
