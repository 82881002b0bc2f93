package org.currantslip.node.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.Callback;

/**
 * Notices that a caller closes its connection while it waits for an answer.
 *
 * <p>The server reads nothing between a request and its answer, so a hang-up would show only at the
 * next write. Bytes that arrive instead, a pipelined request, are handed back to the connection. A
 * caller that closes only its sending side counts as gone.
 */
final class HangUpWatch implements Callback {
  private static final int READ_BYTES = 1_024;

  private final AbstractEndPoint endPoint;
  private final Connection connection;
  private final Runnable onHangUp;
  private boolean over;

  private HangUpWatch(AbstractEndPoint endPoint, Connection connection, Runnable onHangUp) {
    this.endPoint = endPoint;
    this.connection = connection;
    this.onHangUp = onHangUp;
  }

  /** Starts to watch a connection whose request was read in full. */
  static HangUpWatch start(Connection connection, Runnable onHangUp) {
    AbstractEndPoint endPoint = (AbstractEndPoint) connection.getEndPoint();
    HangUpWatch watch = new HangUpWatch(endPoint, connection, onHangUp);
    endPoint.tryFillInterested(watch);
    return watch;
  }

  /** Ends the watch; has to come before the end of the answer is written. */
  void stop() {
    synchronized (this) {
      if (over) {
        return;
      }
      over = true;
    }
    endPoint.getFillInterest().onFail(new CancellationException("the answer ends"));
  }

  @Override
  public void succeeded() {
    boolean hungUp;
    synchronized (this) {
      if (over) {
        return;
      }
      hungUp = readOnce();
      over = true;
    }
    if (hungUp) {
      onHangUp.run();
    }
  }

  @Override
  public void failed(Throwable failure) {
    synchronized (this) {
      if (over) {
        return;
      }
      over = true;
    }
    onHangUp.run();
  }

  @Override
  public InvocationType getInvocationType() {
    return InvocationType.NON_BLOCKING;
  }

  /** Returns whether the connection is at its end. */
  private boolean readOnce() {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES).limit(0);
    try {
      int count = endPoint.fill(buffer);
      if (count > 0 && connection instanceof Connection.UpgradeTo reader) {
        reader.onUpgradeTo(buffer);
      }
      return count < 0;
    } catch (IOException e) {
      return true;
    }
  }
}
