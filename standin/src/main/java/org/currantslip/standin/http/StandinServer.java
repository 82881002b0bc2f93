package org.currantslip.standin.http;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** An HTTP server for several stand-ins, each on its own port. */
public final class StandinServer implements AutoCloseable {
  private static final int MAX_THREADS = 200;
  private static final int MIN_THREADS = 8;
  private static final long IDLE_TIMEOUT_MS = 3_600_000;
  private static final int ACCEPT_QUEUE_SIZE = 1024;

  private final Server server;
  private final Delays delays = Delays.create();
  private final Map<Connector, FaultingHandler> handlers = new ConcurrentHashMap<>();

  private StandinServer(Server server) {
    this.server = server;
  }

  /** Returns a started server without stand-ins. */
  public static StandinServer start() {
    QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    pool.setName("standin");
    StandinServer standins = new StandinServer(new Server(pool));
    standins.server.setHandler(standins.new Dispatcher());
    try {
      standins.server.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot start the stand-in server", e);
    }
    return standins;
  }

  /** Returns the scheduler that the stand-ins share. */
  public Delays delays() {
    return delays;
  }

  /**
   * Opens a port for a stand-in and returns the port.
   *
   * @param port port to open, or zero for any free one
   * @param seed seed of the random faults
   */
  public int add(String host, int port, StandinApp app, long seed) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setUriCompliance(UriCompliance.RFC3986);
    ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory(http));
    connector.setHost(host);
    connector.setPort(port);
    connector.setIdleTimeout(IDLE_TIMEOUT_MS);
    connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    handlers.put(connector, FaultingHandler.create(app, FaultSwitch.create(seed), delays));
    server.addConnector(connector);
    try {
      connector.start();
    } catch (Exception e) {
      throw new IllegalStateException("port " + port + " cannot be opened for listening", e);
    }
    return connector.getLocalPort();
  }

  @Override
  public void close() {
    delays.close();
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop the stand-in server", e);
    }
  }

  /** Waits until the server is stopped. */
  public void join() throws InterruptedException {
    server.join();
  }

  private final class Dispatcher extends Handler.Abstract {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      FaultingHandler handler = handlers.get(request.getConnectionMetaData().getConnector());
      if (handler == null) {
        callback.failed(new IOException("no stand-in on this port"));
      } else {
        handler.handle(request, response, callback);
      }
      return true;
    }
  }
}
