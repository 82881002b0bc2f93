package org.currantslip.node.caller;

import com.google.common.base.Joiner;
import com.google.common.math.LongMath;
import com.google.protobuf.ByteString;
import java.math.RoundingMode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.AnswerHead;
import org.currantslip.core.request.CallerSink;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes one answer to a caller, as server-sent events or as a whole body.
 *
 * <p>What the caller has not read yet waits here, up to a bound; a caller that falls further behind
 * is cut off.
 */
final class ResponseSink implements CallerSink {
  private static final long MS_PER_S = 1_000;
  private static final byte[] EVENT_END = {'\n', '\n'};
  private static final byte[] NOTHING = {};

  private record Unit(ByteBuffer bytes, boolean last) {}

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
  private ByteString body = ByteString.EMPTY;
  private @Nullable HangUpWatch watch;

  private ResponseSink(
      Response response, Callback callback, long maxPendingBytes, Runnable onLost) {
    this.response = response;
    this.callback = callback;
    this.maxPendingBytes = maxPendingBytes;
    this.onLost = onLost;
  }

  /** Returns a sink; {@code onLost} runs once when the caller can no longer be reached. */
  static ResponseSink create(
      Response response, Callback callback, long maxPendingBytes, Runnable onLost) {
    return new ResponseSink(response, callback, maxPendingBytes, onLost);
  }

  @Override
  public synchronized void head(AnswerHead head) {
    streaming = head.stream();
    if (streaming) {
      start(head, "text/event-stream");
      response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
      add(NOTHING, false);
    }
  }

  @Override
  public synchronized void data(ByteString data) {
    if (streaming) {
      add(event("", data), false);
    } else {
      body = body.concat(data);
    }
  }

  @Override
  public synchronized void finish(AnswerHead end) {
    if (finished) {
      return;
    }
    finished = true;
    if (streaming) {
      byte[] last = event("currantslip", ByteString.copyFrom(AnswerJson.streamEnd(end)));
      byte[] done = end.code() == ResultCode.OK ? event("", "[DONE]") : NOTHING;
      add(ByteString.copyFrom(last).concat(ByteString.copyFrom(done)).toByteArray(), true);
    } else if (body.isEmpty() && end.code() != ResultCode.OK) {
      start(end, "application/json");
      add(AnswerJson.refusal(end), true);
    } else {
      start(end, end.contentType());
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.size());
      add(body.toByteArray(), true);
    }
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

  private void start(AnswerHead head, String contentType) {
    response.setStatus(head.httpStatus());
    HttpFields.Mutable fields = response.getHeaders();
    if (!contentType.isEmpty()) {
      fields.put(HttpHeader.CONTENT_TYPE, contentType);
    }
    fields.put(RequestHeaders.REQUEST_ID, head.requestId());
    fields.put(RequestHeaders.CODE, String.valueOf(head.code().number()));
    fields.put(RequestHeaders.RAN, head.ran().text());
    fields.put(RequestHeaders.CONFIG_VERSION, String.valueOf(head.configVersion()));
    fields.put(RequestHeaders.RULE_LINES, Joiner.on(',').join(head.ruleLines()));
    putIfSet(fields, RequestHeaders.MODEL, head.model());
    putIfSet(fields, RequestHeaders.VERSION, head.version());
    putIfSet(fields, RequestHeaders.SESSION_TOKEN, head.sessionToken());
    putIfSet(fields, RequestHeaders.SESSION_MOVED, head.sessionMoved() ? "true" : "");
    putIfSet(fields, RequestHeaders.REPLAYED, head.replayed() ? "true" : "");
    if (head.httpStatus() == HttpStatus.UNAUTHORIZED_401) {
      fields.put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
    }
    if (head.retryAfterMs() > 0) {
      long seconds = LongMath.divide(head.retryAfterMs(), MS_PER_S, RoundingMode.CEILING);
      fields.put(HttpHeader.RETRY_AFTER, String.valueOf(seconds));
      fields.put(RequestHeaders.RETRY_AFTER_MS, String.valueOf(head.retryAfterMs()));
    }
  }

  private static void putIfSet(HttpFields.Mutable fields, String name, String value) {
    if (!value.isEmpty()) {
      fields.put(name, value);
    }
  }

  private static byte[] event(String name, String payload) {
    return event(name, ByteString.copyFromUtf8(payload));
  }

  private static byte[] event(String name, ByteString payload) {
    String prefix = name.isEmpty() ? "" : "event: " + name + "\n";
    String text = payload.toStringUtf8();
    String data = "data: " + text.replace("\n", "\ndata: ");
    byte[] head = (prefix + data).getBytes(StandardCharsets.UTF_8);
    byte[] whole = new byte[head.length + EVENT_END.length];
    System.arraycopy(head, 0, whole, 0, head.length);
    System.arraycopy(EVENT_END, 0, whole, head.length, EVENT_END.length);
    return whole;
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
