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

/** One HTTP server that carries several stand-ins, each on a port of its own. */
public final class StandinServer implements AutoCloseable {
  private static final int MAX_THREADS = 200;
  private static final int MIN_THREADS = 8;
  private static final long IDLE_TIMEOUT_MS = 3_600_000;
  private static final int BACKLOG = 1024;

  private final Server server;
  private final Delays delays = Delays.create();
  private final Map<Connector, StandinDesk> desks = new ConcurrentHashMap<>();

  private StandinServer(Server server) {
    this.server = server;
  }

  /** Returns a running server without stand-ins. */
  public static StandinServer start() {
    QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    pool.setName("standin");
    StandinServer standins = new StandinServer(new Server(pool));
    standins.server.setHandler(standins.new Dispatch());
    try {
      standins.server.start();
    } catch (Exception e) {
      throw new IllegalStateException("stand-in server does not start", e);
    }
    return standins;
  }

  /** Returns where stand-ins run short tasks later. */
  public Delays delays() {
    return delays;
  }

  /**
   * Opens a port for a stand-in and returns the port.
   *
   * @param port port to open, or zero for any free one
   * @param seed seed of the faults that come by chance
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
    connector.setAcceptQueueSize(BACKLOG);
    desks.put(connector, StandinDesk.create(app, FaultSwitch.create(seed), delays));
    server.addConnector(connector);
    try {
      connector.start();
    } catch (Exception e) {
      throw new IllegalStateException("port " + port + " cannot be opened", e);
    }
    return connector.getLocalPort();
  }

  @Override
  public void close() {
    delays.close();
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("stand-in server does not stop", e);
    }
  }

  /** Waits until the server is stopped. */
  public void join() throws InterruptedException {
    server.join();
  }

  private final class Dispatch extends Handler.Abstract {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      StandinDesk desk = desks.get(request.getConnectionMetaData().getConnector());
      if (desk == null) {
        callback.failed(new IOException("no stand-in on this port"));
      } else {
        desk.take(request, response, callback);
      }
      return true;
    }
  }
}
