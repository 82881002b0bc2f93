package org.currantslip.node.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Detects that a caller closes its connection while it waits for the response.
 *
 * <p>Jetty does not read between a request and its response, so a disconnect would only be detected
 * by the next write. If bytes of a pipelined request arrive instead, they are passed back to the
 * connection. A caller that closes only its sending side counts as disconnected.
 *
 * <p>A close stays unread in the socket until the selector thread gets to it, which on a node
 * without processor time takes seconds. {@link #hasClosed} therefore reads the socket itself.
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
  private boolean monitoring;
  private @Nullable ByteBuffer pipelinedBytes;
  private volatile boolean stopped;
  private volatile boolean closed;

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
      monitor.begin();
    }
    return monitor;
  }

  private void begin() {
    synchronized (this) {
      monitoring = true;
    }
    if (!endPoint.tryFillInterested(this)) {
      synchronized (this) {
        monitoring = false;
      }
    }
  }

  /**
   * Returns whether the caller has closed the connection, as far as its socket knows now; may be
   * called on any thread.
   */
  boolean hasClosed() {
    synchronized (this) {
      if (stopped || !monitoring) {
        return closed;
      }
      if (!readOnce()) {
        return false;
      }
      stopped = true;
      // Under the lock, so that the response does not end before the interest is withdrawn.
      endPoint.getFillInterest().onFail(RESPONSE_COMPLETE);
    }
    if (closed) {
      onDisconnect.run();
    }
    return closed;
  }

  /** The connection's buffer might not have room for more bytes of the next request. */
  private static boolean hasPipelinedBytes(Connection connection) {
    return connection instanceof HttpConnection http && !http.isRequestBufferEmpty();
  }

  /** Stops monitoring; must be called before the last part of the response is written. */
  void stop() {
    synchronized (this) {
      passPipelinedBytes();
      if (stopped) {
        return;
      }
      stopped = true;
      endPoint.getFillInterest().onFail(RESPONSE_COMPLETE);
    }
  }

  /**
   * Gives bytes of the next request to the connection. They wait for the end of the response, since
   * the thread that has read the request may still use the connection's buffer.
   */
  private void passPipelinedBytes() {
    ByteBuffer bytes = pipelinedBytes;
    pipelinedBytes = null;
    if (bytes != null && connection instanceof Connection.UpgradeTo upgradeTarget) {
      upgradeTarget.onUpgradeTo(bytes);
    }
  }

  @Override
  public void succeeded() {
    synchronized (this) {
      if (stopped) {
        return;
      }
      stopped = readOnce();
      if (!stopped) {
        endPoint.tryFillInterested(this);
      }
    }
    if (closed) {
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

  /** Reads what has arrived; returns whether that was a close or a further request. */
  private boolean readOnce() {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES).limit(0);
    try {
      int count = endPoint.fill(buffer);
      if (count > 0) {
        pipelinedBytes = buffer;
      }
      closed = count < 0;
      return count != 0;
    } catch (IOException e) {
      closed = true;
      return true;
    }
  }
}
