package org.currantslip.node.wiring;

import org.currantslip.node.admin.AdminHandler;
import org.currantslip.node.metrics.MetricsHandler;
import org.currantslip.schema.ListenSettings;
import org.eclipse.jetty.server.ConnectionLimit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Builds the HTTP server of the administration port. */
final class AdminServer {
  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 2;
  private static final int MAX_CONNECTIONS = 64;
  private static final long IDLE_TIMEOUT_MS = 60_000;

  private AdminServer() {}

  static Server create(
      ListenSettings listen, MetricsHandler metricsHandler, AdminHandler adminHandler) {
    QueuedThreadPool threadPool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threadPool.setName("admin");
    Server server = new Server(threadPool);
    HttpConfiguration httpConfig = new HttpConfiguration();
    httpConfig.setSendServerVersion(false);
    ServerConnector connector =
        new ServerConnector(server, 1, 1, new HttpConnectionFactory(httpConfig));
    connector.setHost(listen.getHost());
    connector.setPort(listen.getPort());
    connector.setIdleTimeout(IDLE_TIMEOUT_MS);
    server.addConnector(connector);
    server.addBean(new ConnectionLimit(MAX_CONNECTIONS, connector));
    server.setHandler(new Handler.Sequence(metricsHandler, adminHandler));
    return server;
  }
}
