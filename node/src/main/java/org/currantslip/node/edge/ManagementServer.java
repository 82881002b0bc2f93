package org.currantslip.node.edge;

import com.google.common.base.Strings;
import com.google.common.net.HostAndPort;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import org.currantslip.core.directory.DirectoryAnswer;
import org.currantslip.core.directory.LookUp;
import org.currantslip.node.metrics.MetricsHandler;
import org.currantslip.platform.DirectoryWire;
import org.currantslip.schema.EdgeSettings;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates the HTTP server for readiness checks, the directory and metrics. */
final class ManagementServer {
  private static final int MAX_THREADS = 10;
  private static final int MIN_THREADS = 2;
  private static final long IDLE_TIMEOUT_MS = 30_000;

  private ManagementServer() {}

  static Server create(
      EdgeSettings settings,
      BooleanSupplier ready,
      DirectoryLookUps lookUps,
      MetricsHandler metrics) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("management");
    Server server = new Server(threads);
    listenOn(server, HostAndPort.fromString(settings.getListen().getReadiness()));
    listenOn(server, HostAndPort.fromString(settings.getListen().getDirectory()));
    listenOn(
        server, HostAndPort.fromParts(settings.getHost(), settings.getListen().getMetricsPort()));
    double ttlS = EdgeOptions.directoryTtlS(settings);
    server.setHandler(new Handler.Sequence(new PlatformHandler(ready, lookUps, ttlS), metrics));
    return server;
  }

  private static void listenOn(Server server, HostAndPort address) {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    ServerConnector connector =
        new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
    connector.setHost(address.getHost());
    connector.setPort(address.getPort());
    connector.setIdleTimeout(IDLE_TIMEOUT_MS);
    server.addConnector(connector);
  }

  /** Handles the platform's readiness and directory requests. */
  private static final class PlatformHandler extends Handler.Abstract.NonBlocking {
    private final BooleanSupplier ready;
    private final DirectoryLookUps lookUps;
    private final double ttlS;

    private PlatformHandler(BooleanSupplier ready, DirectoryLookUps lookUps, double ttlS) {
      this.ready = ready;
      this.lookUps = lookUps;
      this.ttlS = ttlS;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      String path = request.getHttpURI().getPath();
      if (path == null) {
        return false;
      }
      if (DirectoryWire.isReadiness(path)) {
        boolean isReady = ready.getAsBoolean();
        response.setStatus(isReady ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
        response.write(true, ByteBuffer.allocate(0), callback);
        return true;
      }
      if (DirectoryWire.isDirectory(path)) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        DirectoryAnswer answer = lookUps.answer(lookUp(request));
        byte[] body = DirectoryWire.answer(answer.addresses(), ttlS);
        response.write(true, ByteBuffer.wrap(body), callback);
        lookUps.onAnswered(answer, request.getBeginNanoTime());
        return true;
      }
      return false;
    }

    private static LookUp lookUp(Request request) {
      Fields query = Request.extractQueryParameters(request);
      return new LookUp(
          Strings.nullToEmpty(query.getValue(DirectoryWire.HOST)),
          Strings.nullToEmpty(query.getValue(DirectoryWire.REGION)),
          Strings.nullToEmpty(query.getValue(DirectoryWire.FAILURE_DOMAIN)));
    }
  }
}
