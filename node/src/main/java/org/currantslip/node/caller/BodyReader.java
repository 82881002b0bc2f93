package org.currantslip.node.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ByteBudget;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.eclipse.jetty.io.Content;

/** Reads the body of a request within a limit for it and one for all bodies. */
final class BodyReader implements Runnable {
  private static final long BUSY_RETRY_AFTER_MS = 200;

  private final Content.Source source;
  private final long declaredBytes;
  private final int maxBytes;
  private final ByteBudget.Share memory;
  private final CompletableFuture<byte[]> body = new CompletableFuture<>();
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private BodyReader(
      Content.Source source, long declaredBytes, int maxBytes, ByteBudget.Share memory) {
    this.source = source;
    this.declaredBytes = declaredBytes;
    this.maxBytes = maxBytes;
    this.memory = memory;
  }

  /**
   * Reads a body. The future fails with a {@link RefusalException} if the body is incomplete or
   * exceeds a limit.
   *
   * @param declaredBytes length that the request declares, or a negative number if it has none
   * @param memory share of what all bodies may hold; the caller releases it
   */
  static CompletableFuture<byte[]> read(
      Content.Source source, long declaredBytes, int maxBytes, ByteBudget.Share memory) {
    BodyReader reader = new BodyReader(source, declaredBytes, maxBytes, memory);
    if (reader.reserve(0)) {
      reader.run();
    }
    return reader.body;
  }

  /** Reserves memory for this many bytes, or for all that the request declares. */
  private boolean reserve(long size) {
    if (memory.tryResize(Math.max(declaredBytes, size))) {
      return true;
    }
    fail(
        RefusalException.notRunRetryable(
            ResultCode.TOO_MANY_IN_FLIGHT,
            BUSY_RETRY_AFTER_MS,
            "too many bytes of concurrent request bodies"));
    return false;
  }

  @Override
  public void run() {
    while (true) {
      Content.Chunk chunk = source.read();
      if (chunk == null) {
        source.demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        fail(RefusalException.notRun(ResultCode.BODY_MALFORMED, "the request body is incomplete"));
        return;
      }
      boolean last = chunk.isLast();
      boolean accepted = add(chunk.getByteBuffer());
      chunk.release();
      if (!accepted) {
        return;
      }
      if (last) {
        body.complete(bytes.toByteArray());
        return;
      }
    }
  }

  private boolean add(ByteBuffer content) {
    long size = (long) bytes.size() + content.remaining();
    if (size > maxBytes) {
      fail(RefusalException.notRun(ResultCode.BODY_TOO_LARGE, "the request body is too large"));
      return false;
    }
    if (!reserve(size)) {
      return false;
    }
    byte[] added = new byte[content.remaining()];
    content.get(added);
    bytes.writeBytes(added);
    return true;
  }

  private void fail(RefusalException refusal) {
    body.completeExceptionally(refusal);
  }
}
