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

  /** A burst of new connections waits here; the system drops what is beyond it. */
  private static final int ACCEPT_QUEUE = 512;

  private final Server server;
  private final ServerConnector connector;
  private final CallerHandler handler;

  private FrontDoor(Server server, ServerConnector connector, CallerHandler handler) {
    this.server = server;
    this.connector = connector;
    this.handler = handler;
  }

  /** Returns a server of this product's own interface that is not started yet. */
  public static FrontDoor create(
      CallerOptions options,
      AccountTokens tokens,
      Clock clock,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> view) {
    return build(
        options,
        OwnProtocol.create(options, tokens, clock),
        UriCompliance.DEFAULT,
        Optional.of(EntryHandler.create(view, options.entryTtlMs())),
        clock,
        decisions,
        requests,
        requestIds,
        view);
  }

  /** Returns a server that takes any path and passes requests on unchanged, not started yet. */
  public static FrontDoor forwarding(
      CallerOptions options,
      CallerProtocol protocol,
      Clock clock,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> view) {
    return build(
        options,
        protocol,
        UriCompliance.UNSAFE,
        Optional.empty(),
        clock,
        decisions,
        requests,
        requestIds,
        view);
  }

  private static FrontDoor build(
      CallerOptions options,
      CallerProtocol protocol,
      UriCompliance paths,
      Optional<Handler> first,
      Clock clock,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> view) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("caller");
    Server server = new Server(threads);
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setUriCompliance(paths);
    http.setRequestHeaderSize(options.maxHeaderBytes());
    http.setIdleTimeout(options.idleMs());
    ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
    connector.setHost(options.host());
    connector.setPort(options.port());
    connector.setIdleTimeout(options.idleMs());
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
    server.addConnector(connector);
    server.addBean(new ConnectionLimit(options.maxConnections(), connector));
    SlowCallerGuard guard =
        SlowCallerGuard.create(
            connector.getScheduler(), clock, options.headerMs(), options.bodyMs());
    connector.addBean(guard);
    CallerHandler handler =
        CallerHandler.create(
            options, protocol, clock, guard, decisions, requests, requestIds, view);
    server.setHandler(first.<Handler>map(f -> new Handler.Sequence(f, handler)).orElse(handler));
    server.setErrorHandler(NumberedErrors.create(protocol, requestIds));
    return new FrontDoor(server, connector, handler);
  }

  /** Sets the time without a byte after which a new connection is closed. */
  public void setIdleTimeout(long idleMs) {
    connector.setIdleTimeout(idleMs);
  }

  /** Opens the port. */
  public void start() throws Exception {
    server.start();
  }

  /** Closes the port and all connections. */
  public void stop() throws Exception {
    server.stop();
  }

  /** Returns the port it listens on. */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns how many requests are under way. */
  public int inFlight() {
    return handler.inFlight();
  }
}
