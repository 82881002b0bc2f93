package org.currantslip.node.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.Clock;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.quarantine.QuarantinePeers;
import org.currantslip.core.request.ForwardPorts;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.RequestIds;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.node.caller.CallerOptions;
import org.currantslip.node.caller.EntryView;
import org.currantslip.node.caller.FrontDoor;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.metrics.NodeMetrics;
import org.currantslip.platform.RunnerCalls;
import org.currantslip.platform.WarmUpCall;
import org.currantslip.platform.WarmUpEndpoint;
import org.currantslip.platform.WireCallerProtocol;
import org.currantslip.schema.NodeId;
import org.eclipse.jetty.client.HttpClient;

/**
 * The request path of a node with state of its own: a server on loopback, the decisions, the client
 * of endpoints and a small endpoint.
 *
 * <p>It shares only the endpoint client with the node. Its requests appear in no metrics and no
 * log, and change nothing that the node decides by.
 */
final class WarmUpPath implements AutoCloseable {
  private static final String NAME = "warm-up";
  private static final int RING_CAPACITY = 64;
  private static final long SEED = 1;
  private static final int READ_TIMEOUT_MS = 2_500;
  private static final int RESPONSE_BUFFER_BYTES = 1_024;
  private static final String STATUS_LINE_START = "HTTP/1.1 ";

  private final DecisionThread decisions;
  private final NodeMetrics metrics = NodeMetrics.create();
  private final WarmUpEndpoint endpoint;
  private final FrontDoor server;
  private int callCount;

  private WarmUpPath(
      CallerOptions options, HttpClient endpointClient, Clock clock, WarmUpEndpoint endpoint)
      throws Exception {
    this.endpoint = endpoint;
    decisions = DecisionThread.create(clock, RING_CAPACITY, RING_CAPACITY);
    RouteTable routes = WarmUpEndpoint.routes();
    ExpectedWaitChooser chooser = ExpectedWaitChooser.create(clock, "", SEED);
    chooser.onEndpoints(endpoint.endpoints());
    NodeId self = NodeId.newBuilder().setName(NAME).setIncarnation(1).build();
    ServiceRollouts rollouts = ServiceRollouts.create(self, halt -> {});
    rollouts.onEndpoints(endpoint.endpoints());
    SlotQueue queue = SlotQueue.create(clock, chooser::freeSlots, SEED);
    PromptQuarantine quarantine = PromptQuarantine.create(clock, QuarantinePeers.none(NAME));
    RequestEngine engine =
        RequestEngine.forwarding(
            new ForwardPorts(
                clock,
                () -> routes,
                queue,
                chooser,
                RetryBudget.create(clock, new RetryBudget.Bound(1, 1, 1), () -> 1),
                rollouts,
                SizeCascade.create(),
                quarantine,
                RunnerCalls.create(endpointClient, decisions, clock),
                metrics::record,
                RateLimitedTrace.create(clock, EventLog::format)));
    RequestIds ids = RequestIds.create(self);
    server =
        FrontDoor.forwarding(
            options,
            WireCallerProtocol.create(),
            clock,
            decisions,
            EdgeRequests.create(engine, () -> routes),
            ids::next,
            EntryView::empty);
    decisions.onTick(queue::tick);
    decisions.onTick(engine::tick);
    decisions.onTick(quarantine::tick);
  }

  /** Opens a path that calls its endpoint by {@code endpointClient}. */
  static WarmUpPath open(CallerOptions options, HttpClient endpointClient, Clock clock)
      throws Exception {
    WarmUpEndpoint endpoint = WarmUpEndpoint.open();
    WarmUpPath path;
    try {
      path = new WarmUpPath(options, endpointClient, clock, endpoint);
    } catch (Exception e) {
      endpoint.close();
      throw e;
    }
    try {
      path.decisions.start();
      path.server.start();
    } catch (Exception e) {
      path.close();
      throw e;
    }
    return path;
  }

  /** Sends one call; fails if the response is not the expected one. */
  void run(WarmUpCall call) throws IOException {
    callCount++;
    String response = exchange(call.request(NAME + "-" + callCount));
    if (!response.startsWith(STATUS_LINE_START + call.expectedStatus())) {
      int lineEnd = response.indexOf('\r');
      throw new IOException(
          "%s got: %s".formatted(call, response.substring(0, Math.max(0, lineEnd))));
    }
  }

  private String exchange(byte[] request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket.getOutputStream().write(request);
      StringBuilder response = new StringBuilder();
      byte[] buffer = new byte[RESPONSE_BUFFER_BYTES];
      for (int count = read(socket, buffer); count >= 0; count = read(socket, buffer)) {
        response.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
      }
      return response.toString();
    }
  }

  private static int read(Socket socket, byte[] buffer) throws IOException {
    return socket.getInputStream().read(buffer);
  }

  /** Returns the number of requests that reached the endpoint. */
  int endpointRequestCount() {
    return endpoint.requestCount();
  }

  /** Closes the ports and ends the threads. */
  @Override
  public void close() throws Exception {
    try {
      server.stop();
    } finally {
      decisions.stop();
      metrics.close();
      endpoint.close();
    }
  }
}
