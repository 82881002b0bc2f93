package org.currantslip.adapter.http;

import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.HttpClientTransport;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/** Creates and stops the HTTP clients for the platform and the endpoints. */
public final class HttpClients {
  private static final long CONNECT_TIMEOUT_MS = 1000;
  private static final long IDLE_TIMEOUT_MS = 60_000;
  private static final long DESTINATION_IDLE_TIMEOUT_MS = 30_000;
  private static final int MAX_CONNECTIONS_PER_DESTINATION = 256;
  private static final int MAX_QUEUED_PER_DESTINATION = 1024;
  private static final int MAX_RESPONSE_HEAD_BYTES = 64 << 10;

  /** The largest head that callers may send, and the fields that a node adds. */
  private static final int MAX_REQUEST_HEAD_BYTES = (64 << 10) + (4 << 10);

  private static final int MIN_THREADS = 4;

  private HttpClients() {}

  /**
   * Returns a started client that does not follow redirects or decode content.
   *
   * @param name client name, used as the prefix of its thread names
   * @param threads maximum number of threads, raised to at least four
   */
  public static HttpClient start(String name, int threads) {
    return open(name, threads, CONNECT_TIMEOUT_MS, new KeepAliveConnector());
  }

  /**
   * Returns a started client like {@link #start(String, int)}, but without TLS support.
   *
   * @param connectTimeoutMs timeout for establishing a connection
   */
  public static HttpClient startWithoutTls(String name, int threads, long connectTimeoutMs) {
    ClientConnector connector = new KeepAliveConnector();
    connector.setSslContextFactory(new DisabledTls());
    return open(name, threads, connectTimeoutMs, connector);
  }

  /**
   * TLS context factory for clients that never use TLS. Skips loading the trust store, which takes
   * a tenth of a second.
   */
  private static final class DisabledTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {}
  }

  /**
   * Skips each interim response. The client's own handlers skip neither an unknown one nor a second
   * 100, and such an exchange would never complete.
   */
  private static final class InterimHandler extends EarlyHintsProtocolHandler {
    @Override
    public boolean accept(Request request, Response response) {
      return HttpStatus.isInterim(response.getStatus());
    }
  }

  private static HttpClient open(
      String name, int threads, long connectTimeoutMs, ClientConnector connector) {
    QueuedThreadPool threadPool = new QueuedThreadPool(Math.max(threads, MIN_THREADS), MIN_THREADS);
    threadPool.setName(name);
    threadPool.setDaemon(true);
    connector.setSelectors(1);
    connector.setExecutor(threadPool);
    HttpClientTransport transport = new HttpClientTransportOverHTTP(connector);
    // All listeners only hand data over, so that the selector's thread can call them itself.
    transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
    HttpClient client = new HttpClient(transport);
    client.setExecutor(threadPool);
    Scheduler scheduler = new ScheduledExecutorScheduler(name + "-scheduler", false);
    client.setScheduler(scheduler);
    client.setSocketAddressResolver(
        LiteralAddressResolver.before(
            new SocketAddressResolver.Async(
                threadPool, scheduler, client.getAddressResolutionTimeout())));
    client.setName(name);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setConnectTimeout(connectTimeoutMs);
    client.setIdleTimeout(IDLE_TIMEOUT_MS);
    client.setDestinationIdleTimeout(DESTINATION_IDLE_TIMEOUT_MS);
    client.setMaxRequestHeadersSize(MAX_REQUEST_HEAD_BYTES);
    client.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_DESTINATION);
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client " + name + " failed to start", e);
    }
    client.getContentDecoderFactories().clear();
    client.getProtocolHandlers().put(new InterimHandler());
    return client;
  }

  /** Stops a client and closes its connections. */
  public static void stop(HttpClient client) {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client " + client.getName() + " failed to stop", e);
    }
  }
}
