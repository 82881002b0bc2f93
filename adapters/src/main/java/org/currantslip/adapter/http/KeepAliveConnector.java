package org.currantslip.adapter.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;

/**
 * Opens connections that detect a dead peer with TCP keep-alive and report a reset as an error
 * rather than the end of input.
 */
final class KeepAliveConnector extends ClientConnector {
  /** A watch may wait without traffic, and a dead peer must be detected within a few seconds. */
  private static final int KEEP_ALIVE_IDLE_S = 1;

  private static final int KEEP_ALIVE_INTERVAL_S = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  @Override
  protected SelectorManager newSelectorManager() {
    return new ClientSelectorManager(getExecutor(), getScheduler(), getSelectors()) {
      @Override
      protected void execute(Runnable task) {
        if (SelectorTasks.mayRunAtOnce(this, task)) {
          task.run();
        } else {
          super.execute(task);
        }
      }
    };
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel selectable, ManagedSelector selector, SelectionKey key) {
    return new ResetAwareEndPoint((SocketChannel) selectable, selector, key, getScheduler());
  }

  @Override
  protected void configure(SelectableChannel selectable) throws IOException {
    super.configure(selectable);
    if (selectable instanceof NetworkChannel channel) {
      channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_ALIVE_INTERVAL_S);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_ALIVE_PROBES);
    }
  }
}
