package org.currantslip.node.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.ToDoubleFunction;
import org.currantslip.core.request.RequestOutcome;

/** Counts what this node does. */
public final class NodeMetrics {
  private static final String MODEL = "model";
  private static final String SERVICE = "service";
  private static final double MS_PER_S = 1_000;
  private static final Duration[] BUCKETS = {
    Duration.ofMillis(10),
    Duration.ofMillis(50),
    Duration.ofMillis(200),
    Duration.ofMillis(550),
    Duration.ofSeconds(1),
    Duration.ofSeconds(5),
    Duration.ofSeconds(30)
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final JvmGcMetrics gc = new JvmGcMetrics();
  private boolean runtimeBound;
  private volatile NodeGauges gauges = NodeGauges.empty();

  private NodeMetrics() {
    gauge(Metric.IN_FLIGHT, NodeGauges::inFlight);
    gauge(Metric.DECISION_BACKLOG, NodeGauges::backlog);
    gauge(Metric.LIVE_NODES, NodeGauges::liveNodes);
    gauge(Metric.ENTRY_NODES, NodeGauges::entryNodes);
    gauge(Metric.PEER_LINKS, NodeGauges::links);
    gauge(Metric.ENDPOINTS, NodeGauges::endpoints);
    gauge(Metric.CONFIG_VERSION, NodeGauges::configVersion);
    gauge(Metric.CONFIG_AGE, g -> g.configAgeMs() / MS_PER_S);
    FunctionCounter.builder(Metric.PEER_FRAMES.meter(), this, m -> m.gauges.frames())
        .register(registry);
  }

  /** Binds the figures of the runtime, which take a tenth of a second of a start. */
  private synchronized void bindRuntime() {
    if (!runtimeBound) {
      runtimeBound = true;
      new JvmMemoryMetrics().bindTo(registry);
      new ProcessorMetrics().bindTo(registry);
      gc.bindTo(registry);
    }
  }

  /** Returns metrics that all stand at zero. */
  public static NodeMetrics create() {
    return new NodeMetrics();
  }

  /** Counts the end of a request. */
  public void record(RequestOutcome outcome) {
    String kind = outcome.service().isEmpty() ? MODEL : SERVICE;
    Counter.builder(Metric.REQUESTS.meter())
        .tag("kind", kind)
        .tag("code", String.valueOf(outcome.code().number()))
        .tag("ran", outcome.ran().text())
        .register(registry)
        .increment();
    timer(Metric.REQUEST_DURATION, kind).record(Duration.ofMillis(outcome.totalMs()));
    timer(Metric.FIRST_BYTE, kind).record(Duration.ofMillis(outcome.firstByteMs()));
    Counter.builder(Metric.ENDPOINT_CALLS.meter())
        .tag("kind", kind)
        .register(registry)
        .increment(outcome.attempts());
    Counter.builder(Metric.COST.meter()).register(registry).increment(outcome.costMicros());
  }

  /** Publishes the values of the gauges. */
  public void publish(NodeGauges values) {
    gauges = values;
  }

  /** Returns the page that Prometheus reads. */
  public String page() {
    bindRuntime();
    return registry.scrape();
  }

  /** Ends the watch over the garbage collector. */
  public void close() {
    gc.close();
    registry.close();
  }

  private Timer timer(Metric metric, String kind) {
    return Timer.builder(metric.meter())
        .tag("kind", kind)
        .serviceLevelObjectives(BUCKETS)
        .register(registry);
  }

  private void gauge(Metric metric, ToDoubleFunction<NodeGauges> value) {
    Gauge.Builder<NodeMetrics> gauge =
        Gauge.builder(metric.meter(), this, m -> value.applyAsDouble(m.gauges));
    if (!metric.unit().isEmpty()) {
      gauge.baseUnit(metric.unit());
    }
    gauge.register(registry);
  }
}
