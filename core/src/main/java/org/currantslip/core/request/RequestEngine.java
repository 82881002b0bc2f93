package org.currantslip.core.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Runs requests from admission to their final answer. Owned by the decision thread. */
public final class RequestEngine {
  private final RequestPorts ports;
  private final EngineOptions options;
  private final Map<String, RequestFlow> flows = new LinkedHashMap<>();

  private RequestEngine(RequestPorts ports, EngineOptions options) {
    this.ports = ports;
    this.options = options;
  }

  /** Returns an engine without requests. */
  public static RequestEngine create(RequestPorts ports, EngineOptions options) {
    return new RequestEngine(ports, options);
  }

  /** Starts a request; its answer goes to the sink. */
  public RequestHandle start(RouterRequest request, CallerSink sink) {
    RequestFlow flow = RequestFlow.create(ports, options, request, sink);
    flows.put(request.requestId(), flow);
    flow.start();
    return flow::callerGone;
  }

  /** Applies deadlines and forgets finished requests; called every few milliseconds. */
  public void tick() {
    long now = ports.clock().nowMs();
    List.copyOf(flows.values()).forEach(f -> f.tick(now));
    flows.values().removeIf(RequestFlow::isDone);
  }

  /** Returns how many requests are under way, those whose caller is already answered included. */
  public int activeCount() {
    flows.values().removeIf(RequestFlow::isDone);
    return flows.size();
  }
}
