package org.currantslip.node.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.Callback;

/**
 * Detects that a caller closes its connection while it waits for the response.
 *
 * <p>Jetty does not read between a request and its response, so a disconnect would only be detected
 * by the next write. If bytes of a pipelined request arrive instead, they are passed back to the
 * connection. A caller that closes only its sending side counts as disconnected.
 */
final class DisconnectMonitor implements Callback {
  private static final int READ_BUFFER_BYTES = 1_024;

  /** Ends the wait for bytes; only this class sees it, so that one without a stack will do. */
  private static final CancellationException RESPONSE_COMPLETE =
      new StacklessCancellation("the response is complete");

  private static final class StacklessCancellation extends CancellationException {
    private static final long serialVersionUID = 1L;

    private StacklessCancellation(String message) {
      super(message);
    }

    @Override
    public synchronized Throwable fillInStackTrace() {
      return this;
    }
  }

  private final AbstractEndPoint endPoint;
  private final Connection connection;
  private final Runnable onDisconnect;
  private boolean stopped;

  private DisconnectMonitor(
      AbstractEndPoint endPoint, Connection connection, Runnable onDisconnect) {
    this.endPoint = endPoint;
    this.connection = connection;
    this.onDisconnect = onDisconnect;
  }

  /** Starts to monitor a connection whose request was read completely. */
  static DisconnectMonitor start(Connection connection, Runnable onDisconnect) {
    AbstractEndPoint endPoint = (AbstractEndPoint) connection.getEndPoint();
    DisconnectMonitor monitor = new DisconnectMonitor(endPoint, connection, onDisconnect);
    if (!hasPipelinedBytes(connection)) {
      endPoint.tryFillInterested(monitor);
    }
    return monitor;
  }

  /** The connection's buffer might not have room for more bytes of the next request. */
  private static boolean hasPipelinedBytes(Connection connection) {
    return connection instanceof HttpConnection http && !http.isRequestBufferEmpty();
  }

  /** Stops monitoring; must be called before the last part of the response is written. */
  void stop() {
    synchronized (this) {
      if (stopped) {
        return;
      }
      stopped = true;
    }
    endPoint.getFillInterest().onFail(RESPONSE_COMPLETE);
  }

  @Override
  public void succeeded() {
    boolean disconnected;
    synchronized (this) {
      if (stopped) {
        return;
      }
      disconnected = readUntilClosed();
      stopped = true;
    }
    if (disconnected) {
      onDisconnect.run();
    }
  }

  @Override
  public void failed(Throwable failure) {
    synchronized (this) {
      if (stopped) {
        return;
      }
      stopped = true;
    }
    onDisconnect.run();
  }

  @Override
  public InvocationType getInvocationType() {
    return InvocationType.NON_BLOCKING;
  }

  /** Reads once; returns whether the caller has closed the connection. */
  private boolean readUntilClosed() {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES).limit(0);
    try {
      int count = endPoint.fill(buffer);
      if (count > 0 && connection instanceof Connection.UpgradeTo upgradeTarget) {
        upgradeTarget.onUpgradeTo(buffer);
      }
      return count < 0;
    } catch (IOException e) {
      return true;
    }
  }
}
