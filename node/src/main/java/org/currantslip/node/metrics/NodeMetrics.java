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
import org.currantslip.core.allowance.AllowanceCounts;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.RequestOutcome;

/** Records the metrics of this node and exports them to Prometheus. */
public final class NodeMetrics {
  private static final String MODEL_KIND = "model";
  private static final String SERVICE_KIND = "service";
  private static final double MS_PER_S = 1_000;
  private static final Duration[] HISTOGRAM_BUCKETS = {
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
  private final JvmGcMetrics gcMetrics = new JvmGcMetrics();
  private final Counter quarantineRefusals =
      Counter.builder(Metric.QUARANTINE_REFUSALS.meterName()).register(registry);
  private boolean jvmMetricsBound;
  private volatile NodeGauges gauges = NodeGauges.empty();
  private volatile AllowanceCounts allowances = new AllowanceCounts(0, 0, 0, 0);

  private NodeMetrics() {
    gauge(Metric.IN_FLIGHT, NodeGauges::inFlight);
    gauge(Metric.DECISION_BACKLOG, NodeGauges::backlog);
    gauge(Metric.LIVE_NODES, NodeGauges::liveNodes);
    gauge(Metric.ENTRY_NODES, NodeGauges::entryNodes);
    gauge(Metric.PEER_LINKS, NodeGauges::links);
    gauge(Metric.ENDPOINTS, NodeGauges::endpoints);
    gauge(Metric.CONFIG_VERSION, NodeGauges::configVersion);
    gauge(Metric.CONFIG_AGE, g -> g.configAgeMs() / MS_PER_S);
    gauge(Metric.QUARANTINED_PARTS, NodeGauges::quarantinedParts);
    allowanceGauge(Metric.COLD_ENDPOINTS, AllowanceCounts::coldEndpoints);
    allowanceGauge(Metric.BRITTLE_SERVICES, AllowanceCounts::brittleServices);
    allowanceGauge(Metric.SLOTS_LENT, AllowanceCounts::lentSlots);
    allowanceGauge(Metric.SLOTS_HELD, AllowanceCounts::heldSlots);
    FunctionCounter.builder(Metric.PEER_FRAMES.meterName(), this, m -> m.gauges.frames())
        .register(registry);
  }

  /** Registers the JVM metrics on the first scrape, as this would add 0.1 s to the start. */
  private synchronized void bindJvmMetrics() {
    if (!jvmMetricsBound) {
      jvmMetricsBound = true;
      new JvmMemoryMetrics().bindTo(registry);
      new ProcessorMetrics().bindTo(registry);
      gcMetrics.bindTo(registry);
    }
  }

  /** Creates the metrics, all of them zero. */
  public static NodeMetrics create() {
    return new NodeMetrics();
  }

  /** Records a completed request. */
  public void record(RequestOutcome outcome) {
    String kind = outcome.service().isEmpty() ? MODEL_KIND : SERVICE_KIND;
    Counter.builder(Metric.REQUESTS.meterName())
        .tag("kind", kind)
        .tag("code", String.valueOf(outcome.code().number()))
        .tag("ran", outcome.ran().text())
        .register(registry)
        .increment();
    if (outcome.code() == ResultCode.PROMPT_QUARANTINED) {
      quarantineRefusals.increment();
    }
    timer(Metric.REQUEST_DURATION, kind).record(Duration.ofMillis(outcome.totalMs()));
    timer(Metric.FIRST_BYTE, kind).record(Duration.ofMillis(outcome.firstByteMs()));
    Counter.builder(Metric.ENDPOINT_CALLS.meterName())
        .tag("kind", kind)
        .register(registry)
        .increment(outcome.attempts());
    Counter.builder(Metric.COST.meterName()).register(registry).increment(outcome.costMicros());
  }

  /** Publishes the values of the gauges. */
  public void publish(NodeGauges values) {
    gauges = values;
  }

  /** Publishes the figures of the endpoint allowances. */
  public void publish(AllowanceCounts counts) {
    allowances = counts;
  }

  /** Returns the metrics in the Prometheus text format. */
  public String page() {
    bindJvmMetrics();
    return registry.scrape();
  }

  /** Stops observing the garbage collector and closes the registry. */
  public void close() {
    gcMetrics.close();
    registry.close();
  }

  private Timer timer(Metric metric, String kind) {
    return Timer.builder(metric.meterName())
        .tag("kind", kind)
        .serviceLevelObjectives(HISTOGRAM_BUCKETS)
        .register(registry);
  }

  private void allowanceGauge(Metric metric, ToDoubleFunction<AllowanceCounts> value) {
    Gauge.builder(metric.meterName(), this, m -> value.applyAsDouble(m.allowances))
        .register(registry);
  }

  private void gauge(Metric metric, ToDoubleFunction<NodeGauges> value) {
    Gauge.Builder<NodeMetrics> gauge =
        Gauge.builder(metric.meterName(), this, m -> value.applyAsDouble(m.gauges));
    if (!metric.unit().isEmpty()) {
      gauge.baseUnit(metric.unit());
    }
    gauge.register(registry);
  }
}
