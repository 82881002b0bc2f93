package org.currantslip.adapter.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection that reports a reset as an error.
 *
 * <p>The base class treats a reset as the end of input, so a response without a declared length
 * would appear complete although the connection was reset midway.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {
  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
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
      } else if (filled < 0) {
        shutdownInput();
      }
      return filled;
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
  }
}
