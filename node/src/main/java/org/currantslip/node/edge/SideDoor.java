package org.currantslip.node.edge;

import com.google.common.net.HostAndPort;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
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
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server for readiness, directory and metrics. */
final class SideDoor {
  private static final int MAX_THREADS = 10;
  private static final int MIN_THREADS = 2;
  private static final long IDLE_MS = 30_000;

  private SideDoor() {}

  static Server create(
      EdgeSettings settings,
      BooleanSupplier ready,
      Supplier<List<String>> nodes,
      MetricsHandler metrics) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("side");
    Server server = new Server(threads);
    listen(server, HostAndPort.fromString(settings.getListen().getReadiness()));
    listen(server, HostAndPort.fromString(settings.getListen().getDirectory()));
    listen(
        server, HostAndPort.fromParts(settings.getHost(), settings.getListen().getMetricsPort()));
    double ttlS = EdgeOptions.directoryTtlS(settings);
    server.setHandler(new Handler.Sequence(new Questions(ready, nodes, ttlS), metrics));
    return server;
  }

  private static void listen(Server server, HostAndPort address) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
    connector.setHost(address.getHost());
    connector.setPort(address.getPort());
    connector.setIdleTimeout(IDLE_MS);
    server.addConnector(connector);
  }

  /** Answers the platform's questions about this node and the others. */
  private static final class Questions extends Handler.Abstract.NonBlocking {
    private final BooleanSupplier ready;
    private final Supplier<List<String>> nodes;
    private final double ttlS;

    private Questions(BooleanSupplier ready, Supplier<List<String>> nodes, double ttlS) {
      this.ready = ready;
      this.nodes = nodes;
      this.ttlS = ttlS;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      String path = request.getHttpURI().getPath();
      if (path == null) {
        return false;
      }
      if (DirectoryWire.isReadiness(path)) {
        boolean yes = ready.getAsBoolean();
        response.setStatus(yes ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
        response.write(true, ByteBuffer.allocate(0), callback);
        return true;
      }
      if (DirectoryWire.isDirectory(path)) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        byte[] body = DirectoryWire.answer(nodes.get(), ttlS);
        response.write(true, ByteBuffer.wrap(body), callback);
        return true;
      }
      return false;
    }
  }
}
