package org.currantslip.node.caller;

import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.FillInterest;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.internal.HttpConnection;

/** A connection that can be closed between two requests without losing the second one. */
final class CallerConnection extends HttpConnection {
  private final CancellationException closing = new CancellationException("the node is stopping");

  private CallerConnection(
      HttpConfiguration configuration, Connector connector, EndPoint endPoint) {
    super(configuration, connector, endPoint);
  }

  static CallerConnection create(
      HttpConfiguration configuration, Connector connector, EndPoint endPoint) {
    return new CallerConnection(configuration, connector, endPoint);
  }

  /** Returns whether this connection has been closed for sending and reads no more requests. */
  boolean isFinished() {
    return getEndPoint().isOutputShutdown() && getParser().isStart();
  }

  /**
   * Closes the sending side if no further request has arrived; a request that has is read instead.
   * Must be called between two requests only.
   */
  void finishIfIdle() {
    FillInterest interest = ((AbstractEndPoint) getEndPoint()).getFillInterest();
    long bytesBefore = getBytesIn();
    if (interest.fillable() && getBytesIn() == bytesBefore) {
      interest.onFail(closing);
    }
  }

  /** Leaves a request unread that could not be answered. */
  @Override
  public void onFillable() {
    if (!isFinished()) {
      super.onFillable();
    }
  }

  /**
   * Applies the newest idle timeout, and closes only after all received bytes are read: after a
   * stall, a request may be waiting when the timeout expires.
   */
  @Override
  public boolean onIdleExpired(TimeoutException timeout) {
    EndPoint endPoint = getEndPoint();
    if (!getParser().isStart() || endPoint.isOutputShutdown()) {
      return super.onIdleExpired(timeout);
    }
    long idleTimeoutMs = getConnector().getIdleTimeout();
    if (endPoint.getIdleTimeout() < idleTimeoutMs) {
      endPoint.setIdleTimeout(idleTimeoutMs);
    } else {
      getExecutor().execute(this::finishBetweenRequests);
    }
    return false;
  }

  private void finishBetweenRequests() {
    if (getParser().isStart()) {
      finishIfIdle();
    }
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    if (cause == closing) {
      getEndPoint().shutdownOutput();
    } else {
      super.onFillInterestedFailed(cause);
    }
  }
}
