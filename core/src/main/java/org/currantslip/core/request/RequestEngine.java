package org.currantslip.core.request;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import org.currantslip.core.common.Clock;

/** Processes requests from admission to the final response. Confined to the decision thread. */
public final class RequestEngine {
  /** A longer time without a tick means that this node stood still. */
  private static final long MAX_TICK_GAP_MS = 200;

  private final Clock clock;
  private final DrainLimit drainLimit;
  private final BiFunction<RouterRequest, CallerSink, RequestFlow> flowFactory;
  private final Set<RequestFlow> flows = new LinkedHashSet<>();
  private long lastTickMs;
  private boolean stopped;

  private RequestEngine(
      Clock clock,
      DrainLimit drainLimit,
      BiFunction<RouterRequest, CallerSink, RequestFlow> flowFactory) {
    this.clock = clock;
    this.drainLimit = drainLimit;
    this.flowFactory = flowFactory;
    lastTickMs = clock.nowMs();
  }

  /** Returns an engine for requests to the router's own API, which are subject to the rules. */
  public static RequestEngine create(RequestPorts ports, EngineOptions options) {
    return new RequestEngine(
        ports.clock(),
        DrainLimit.none(),
        (request, sink) -> GovernedFlow.create(ports, options, request, sink));
  }

  /**
   * Returns an engine for requests that are forwarded unchanged to the endpoints of their routes.
   */
  public static RequestEngine forwarding(ForwardPorts ports) {
    DrainLimit drainLimit = DrainLimit.none();
    return new RequestEngine(
        ports.clock(),
        drainLimit,
        (request, sink) -> ForwardedFlow.create(ports, drainLimit, request, sink));
  }

  /** Starts a request; its response is written to the sink. */
  public RequestHandle start(RouterRequest request, CallerSink sink) {
    RequestFlow flow = flowFactory.apply(request, sink);
    flows.add(flow);
    if (stopped) {
      flow.refuse(Refusals.nodeLeaving());
    } else {
      flow.start();
    }
    return flow::onCallerDisconnected;
  }

  /** Applies deadlines and removes finished requests; called every few milliseconds. */
  public void tick() {
    long now = clock.nowMs();
    long pauseMs = now - lastTickMs - MAX_TICK_GAP_MS;
    if (pauseMs > 0) {
      flows.forEach(f -> f.onNodeResumed(pauseMs));
    }
    lastTickMs = now;
    List.copyOf(flows).forEach(f -> f.tick(now));
    flows.removeIf(RequestFlow::isDone);
  }

  /**
   * Announces that {@link #stop} follows at this time. Forwarded requests that would not be
   * complete by then are no longer sent.
   */
  public void stopAt(long endMs) {
    drainLimit.setEndMs(endMs);
  }

  /**
   * Ends all active requests and refuses later ones. Requests that no endpoint has are ended first,
   * so that none is sent when another one releases its slot.
   */
  public void stop() {
    stopped = true;
    List.copyOf(flows).stream()
        .sorted(Comparator.comparing(flow -> flow.isIn(RequestFlow.Stage.CALLING)))
        .forEach(RequestFlow::stop);
  }

  /** Returns the number of active requests, including those whose caller already has a response. */
  public int activeCount() {
    flows.removeIf(RequestFlow::isDone);
    return flows.size();
  }
}
