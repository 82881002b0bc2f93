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

/** Opens connections that find out a dead peer while they are idle, and tell resets from ends. */
final class ProbingConnector extends ClientConnector {
  /** A watch waits without traffic; a dead one has to be noticed within a few seconds. */
  private static final int IDLE_S = 1;

  private static final int INTERVAL_S = 1;
  private static final int PROBES = 2;

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
      channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, IDLE_S);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, INTERVAL_S);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES);
    }
  }
}
