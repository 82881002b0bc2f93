package org.currantslip.adapter.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection that reports a reset as an error, and fails beyond its {@link ReceiveLimit}.
 *
 * <p>The base class treats a reset as the end of input, so a response without a declared length
 * would appear complete although the connection was reset midway.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {
  private static final long MAX_OTHER_BYTES = 128 << 10;
  private static final int MAX_CHUNK_FRAMING_BYTES = 64;

  private volatile boolean limited;
  private final AtomicLong otherBytes = new AtomicLong();

  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  void restartLimit() {
    limited = true;
    otherBytes.set(0);
  }

  void onContent(int bytes) {
    otherBytes.addAndGet(-bytes - MAX_CHUNK_FRAMING_BYTES);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return -1;
    }
    int position = BufferUtil.flipToFill(buffer);
    try {
      int filled = getChannel().read(buffer);
      if (filled > 0) {
        notIdle();
        checkLimit(filled);
      } else if (filled < 0) {
        shutdownInput();
      }
      return filled;
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
  }

  private void checkLimit(int filled) throws IOException {
    if (limited && otherBytes.addAndGet(filled) > MAX_OTHER_BYTES) {
      throw new IOException(
          "more than %d bytes besides head and content".formatted(MAX_OTHER_BYTES));
    }
  }
}
