package org.currantslip.core.request;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import org.currantslip.core.common.Clock;

/** Runs requests from admission to their final answer. Owned by the decision thread. */
public final class RequestEngine {
  private final Clock clock;
  private final BiFunction<RouterRequest, CallerSink, RequestFlow> flowOf;
  private final Set<RequestFlow> flows = new LinkedHashSet<>();

  private RequestEngine(Clock clock, BiFunction<RouterRequest, CallerSink, RequestFlow> flowOf) {
    this.clock = clock;
    this.flowOf = flowOf;
  }

  /** Returns an engine for requests that the rules govern. */
  public static RequestEngine create(RequestPorts ports, EngineOptions options) {
    return new RequestEngine(
        ports.clock(), (request, sink) -> GovernedFlow.create(ports, options, request, sink));
  }

  /** Returns an engine for requests that pass unchanged to the endpoints of their routes. */
  public static RequestEngine forwarding(ForwardPorts ports) {
    return new RequestEngine(
        ports.clock(), (request, sink) -> ForwardedFlow.create(ports, request, sink));
  }

  /** Starts a request; its answer goes to the sink. */
  public RequestHandle start(RouterRequest request, CallerSink sink) {
    RequestFlow flow = flowOf.apply(request, sink);
    flows.add(flow);
    flow.start();
    return flow::callerGone;
  }

  /** Applies deadlines and forgets finished requests; called every few milliseconds. */
  public void tick() {
    long now = clock.nowMs();
    List.copyOf(flows).forEach(f -> f.tick(now));
    flows.removeIf(RequestFlow::isDone);
  }

  /** Returns how many requests are under way, those whose caller is already answered included. */
  public int activeCount() {
    flows.removeIf(RequestFlow::isDone);
    return flows.size();
  }
}
