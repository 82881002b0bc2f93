package org.currantslip.node.caller;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.Supplier;
import org.currantslip.adapter.caller.CallerProtocol;
import org.currantslip.adapter.http.SelectorTasks;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.node.log.EventLog;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.server.ConnectionLimit;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;

/** The HTTP server for callers. */
public final class FrontDoor {
  private static final int MIN_THREADS = 4;
  private static final int MAX_THREADS = 16;

  /** Backlog for bursts of new connections; the operating system drops connections beyond it. */
  private static final int ACCEPT_QUEUE_SIZE = 512;

  private static final long CLOSE_INTERVAL_MS = 5;

  /** A request that crosses the close meets an open connection for this long, not a reset. */
  private static final long LINGER_MS = 250;

  private static final long KEEP_IDLE_TIMEOUT = -1;

  private final Server server;
  private final ServerConnector connector;
  private final CallerHandler handler;
  private final SlowRequestGuard slowRequestGuard;
  private final Clock clock;
  private final long closeTimeoutMs;

  private FrontDoor(
      Server server,
      ServerConnector connector,
      CallerHandler handler,
      SlowRequestGuard slowRequestGuard,
      Clock clock,
      long closeTimeoutMs) {
    this.server = server;
    this.connector = connector;
    this.handler = handler;
    this.slowRequestGuard = slowRequestGuard;
    this.clock = clock;
    this.closeTimeoutMs = closeTimeoutMs;
  }

  /** Creates a server for the native API; {@link #start} opens its port. */
  public static FrontDoor create(
      CallerOptions options,
      AccountTokens tokens,
      Clock clock,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> entryView) {
    return build(
        options,
        NativeProtocol.create(options, tokens, clock),
        UriCompliance.DEFAULT,
        Optional.of(guard -> EntryHandler.create(entryView, options.entryTtlMs(), guard)),
        clock,
        decisions,
        requests,
        requestIds,
        entryView);
  }

  /**
   * Creates a server that accepts any path and passes requests on unchanged; {@link #start} opens
   * its port.
   */
  public static FrontDoor forwarding(
      CallerOptions options,
      CallerProtocol protocol,
      Clock clock,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> entryView) {
    return build(
        options,
        protocol,
        UriCompliance.UNSAFE,
        Optional.empty(),
        clock,
        decisions,
        requests,
        requestIds,
        entryView);
  }

  private static FrontDoor build(
      CallerOptions options,
      CallerProtocol protocol,
      UriCompliance uriCompliance,
      Optional<Function<SlowRequestGuard, Handler>> firstHandler,
      Clock clock,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> entryView) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("caller");
    Server server = new Server(threads);
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    configuration.setUriCompliance(uriCompliance);
    configuration.setRequestHeaderSize(options.maxHeaderBytes());
    configuration.setIdleTimeout(options.idleTimeoutMs());
    ServerConnector connector =
        new CallerConnector(server, new CallerConnectionFactory(configuration));
    connector.setShutdownIdleTimeout(KEEP_IDLE_TIMEOUT);
    connector.setHost(options.host());
    connector.setPort(options.port());
    connector.setIdleTimeout(options.idleTimeoutMs());
    connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    server.addConnector(connector);
    server.addBean(new ConnectionLimit(options.maxConnections(), connector));
    CloseLog closeLog = CloseLog.create(clock, entryView);
    SlowRequestGuard slowRequestGuard =
        SlowRequestGuard.create(
            connector.getScheduler(),
            clock,
            closeLog,
            options.headerTimeoutMs(),
            options.bodyTimeoutMs());
    connector.addBean(slowRequestGuard);
    CallerHandler handler =
        CallerHandler.create(
            options,
            protocol,
            clock,
            closeLog,
            slowRequestGuard,
            decisions,
            requests,
            requestIds,
            entryView);
    server.setHandler(
        firstHandler
            .<Handler>map(first -> new Handler.Sequence(first.apply(slowRequestGuard), handler))
            .orElse(handler));
    server.setErrorHandler(ProtocolErrorHandler.create(protocol, requestIds));
    return new FrontDoor(
        server, connector, handler, slowRequestGuard, clock, options.closeTimeoutMs());
  }

  /** Sets the idle timeout of new connections; open ones take it over if it is longer. */
  public void setIdleTimeout(long idleTimeoutMs) {
    connector.setIdleTimeout(idleTimeoutMs);
  }

  /** Tells callers with each response to close their connection, but still accepts requests. */
  public void startLeaving() {
    handler.startLeaving();
  }

  /** Refuses requests that have not been passed to the decision thread yet. */
  public void refuseRequests() {
    handler.refuseRequests();
  }

  /** Starts the server and opens its port. */
  public void start() throws Exception {
    server.start();
  }

  /**
   * Closes the port, refuses further requests, ends each connection once its responses are written,
   * and stops the server when the callers have closed theirs or the timeout expires.
   */
  public void stop() throws Exception {
    handler.refuseRequests();
    long endMs = clock.nowMs() + closeTimeoutMs;
    long lingerEndMs = 0;
    CompletableFuture<Void> closed = connector.shutdown();
    while (server.isRunning() && !closed.isDone() && clock.nowMs() < endMs) {
      if (!finishIdleConnections()) {
        lingerEndMs = clock.nowMs() + LINGER_MS;
      } else if (clock.nowMs() >= lingerEndMs) {
        break;
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CLOSE_INTERVAL_MS));
    }
    if (handler.inFlight() > 0) {
      EventLog.write(LogEvent.REQUESTS_CUT, "requests=" + handler.inFlight());
      slowRequestGuard.logOpenRequests();
    }
    server.stop();
  }

  /** Returns whether all connections were finished before. */
  private boolean finishIdleConnections() {
    List<CallerConnection> open =
        connector.getConnectedEndPoints().stream()
            .map(endPoint -> (CallerConnection) endPoint.getConnection())
            .filter(connection -> !connection.isFinished())
            .toList();
    open.stream()
        .filter(slowRequestGuard::isBetweenRequests)
        .forEach(CallerConnection::finishIfIdle);
    return open.isEmpty();
  }

  /** Sets connections up on the selector's thread. */
  private static final class CallerConnector extends ServerConnector {
    private CallerConnector(Server server, HttpConnectionFactory connections) {
      super(server, 1, 1, connections);
    }

    @Override
    protected SelectorManager newSelectorManager(
        Executor executor, Scheduler scheduler, int selectors) {
      return new ServerConnectorManager(executor, scheduler, selectors) {
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
  }

  /** Creates connections that can be closed between two requests. */
  private static final class CallerConnectionFactory extends HttpConnectionFactory {
    private CallerConnectionFactory(HttpConfiguration configuration) {
      super(configuration);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
      return configure(
          CallerConnection.create(getHttpConfiguration(), connector, endPoint),
          connector,
          endPoint);
    }
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connector.getConnectedEndPoints().size();
  }

  /** Returns the number of requests passed to the decision thread that have no response yet. */
  public int admittedCount() {
    return handler.admittedCount();
  }

  /** Returns the number of requests in flight, including those that are read or refused. */
  public int inFlight() {
    return handler.inFlight();
  }
}
