package org.currantslip.adapter.http;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Sets up HTTP clients towards the platform and the endpoints. */
public final class HttpClients {
  private static final long CONNECT_TIMEOUT_MS = 1000;
  private static final long IDLE_TIMEOUT_MS = 60_000;
  private static final long DESTINATION_IDLE_TIMEOUT_MS = 30_000;
  private static final int CONNECTIONS_PER_DESTINATION = 256;
  private static final int QUEUED_PER_DESTINATION = 1024;
  private static final int MIN_THREADS = 4;

  private HttpClients() {}

  /**
   * Returns a started client that follows no redirects and decodes no content.
   *
   * @param name prefix of its thread names
   * @param threads most threads it may use
   */
  public static HttpClient start(String name, int threads) {
    return open(name, threads, CONNECT_TIMEOUT_MS, new ProbingConnector());
  }

  /**
   * Returns a started client as {@link #start(String, int)} does, for addresses without TLS only.
   *
   * @param connectTimeoutMs time after which a connection that does not open is given up
   */
  public static HttpClient startPlain(String name, int threads, long connectTimeoutMs) {
    ClientConnector connector = new ProbingConnector();
    connector.setSslContextFactory(new NoTls());
    return open(name, threads, connectTimeoutMs, connector);
  }

  /**
   * Takes the place of TLS that is never spoken; a trust store takes a tenth of a second to load.
   */
  private static final class NoTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {}
  }

  private static HttpClient open(
      String name, int threads, long connectTimeoutMs, ClientConnector connector) {
    QueuedThreadPool pool = new QueuedThreadPool(Math.max(threads, MIN_THREADS), MIN_THREADS);
    pool.setName(name);
    pool.setDaemon(true);
    connector.setSelectors(1);
    connector.setExecutor(pool);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setExecutor(pool);
    client.setName(name);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setConnectTimeout(connectTimeoutMs);
    client.setIdleTimeout(IDLE_TIMEOUT_MS);
    client.setDestinationIdleTimeout(DESTINATION_IDLE_TIMEOUT_MS);
    client.setMaxConnectionsPerDestination(CONNECTIONS_PER_DESTINATION);
    client.setMaxRequestsQueuedPerDestination(QUEUED_PER_DESTINATION);
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client " + name + " does not start", e);
    }
    client.getContentDecoderFactories().clear();
    return client;
  }

  /** Stops a client and closes its connections. */
  public static void stop(HttpClient client) {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client " + client.getName() + " does not stop", e);
    }
  }
}
