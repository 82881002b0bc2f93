package org.currantslip.node.caller;

import java.util.Optional;
import java.util.function.Supplier;
import org.currantslip.adapter.caller.CallerProtocol;
import org.currantslip.core.common.Clock;
import org.currantslip.node.duty.DecisionThread;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.ConnectionLimit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server for callers. */
public final class FrontDoor {
  private static final int MIN_THREADS = 4;
  private static final int MAX_THREADS = 16;

  /** Backlog for bursts of new connections; the operating system drops connections beyond it. */
  private static final int ACCEPT_QUEUE_SIZE = 512;

  private final Server server;
  private final ServerConnector connector;
  private final CallerHandler handler;

  private FrontDoor(Server server, ServerConnector connector, CallerHandler handler) {
    this.server = server;
    this.connector = connector;
    this.handler = handler;
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
        Optional.of(EntryHandler.create(entryView, options.entryTtlMs())),
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
      Optional<Handler> firstHandler,
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
        new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
    connector.setHost(options.host());
    connector.setPort(options.port());
    connector.setIdleTimeout(options.idleTimeoutMs());
    connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    server.addConnector(connector);
    server.addBean(new ConnectionLimit(options.maxConnections(), connector));
    SlowRequestGuard slowRequestGuard =
        SlowRequestGuard.create(
            connector.getScheduler(), clock, options.headerTimeoutMs(), options.bodyTimeoutMs());
    connector.addBean(slowRequestGuard);
    CallerHandler handler =
        CallerHandler.create(
            options, protocol, clock, slowRequestGuard, decisions, requests, requestIds, entryView);
    server.setHandler(
        firstHandler.<Handler>map(first -> new Handler.Sequence(first, handler)).orElse(handler));
    server.setErrorHandler(ProtocolErrorHandler.create(protocol, requestIds));
    return new FrontDoor(server, connector, handler);
  }

  /** Sets the idle timeout of new connections. */
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

  /** Stops the server and closes all connections. */
  public void stop() throws Exception {
    server.stop();
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
