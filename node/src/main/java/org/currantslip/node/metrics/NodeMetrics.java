package org.currantslip.node.metrics;

import com.google.common.base.Ascii;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.currantslip.core.allowance.AllowanceCounts;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.directory.LookUpResult;
import org.currantslip.core.relay.RelayCounts;
import org.currantslip.core.request.RequestOutcome;

/** Records the metrics of this node and exports them to Prometheus. */
public final class NodeMetrics {
  private static final String MODEL_KIND = "model";
  private static final String SERVICE_KIND = "service";
  private static final double MS_PER_S = 1_000;

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final JvmGcMetrics gcMetrics = new JvmGcMetrics();
  private final Counter quarantineRefusals =
      Counter.builder(Metric.QUARANTINE_REFUSALS.meterName()).register(registry);
  private final RelayCounts relayCounts = RelayCounts.create();
  private final Map<String, RequestMeters> metersByKind = new ConcurrentHashMap<>();
  private boolean jvmMetricsBound;
  private volatile NodeGauges gauges = NodeGauges.empty();
  private volatile StartFigures start = StartFigures.none();
  private volatile int evacuatedDomains;
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
    startGauge(Metric.START_READY, s -> s.readyMs() / MS_PER_S);
    startGauge(Metric.START_WARM_UP, s -> s.warmUpMs() / MS_PER_S);
    startGauge(Metric.START_PROCESSOR, s -> s.processorMs() / MS_PER_S);
    startGauge(Metric.START_CALLS, StartFigures::calls);
    Stream.of(LookUpResult.values()).forEach(this::lookUps);
    gauge(Metric.EVACUATED_DOMAINS, g -> evacuatedDomains);
    allowanceGauge(Metric.COLD_ENDPOINTS, AllowanceCounts::coldEndpoints);
    allowanceGauge(Metric.BRITTLE_SERVICES, AllowanceCounts::brittleServices);
    allowanceGauge(Metric.SLOTS_LENT, AllowanceCounts::lentSlots);
    allowanceGauge(Metric.SLOTS_HELD, AllowanceCounts::heldSlots);
    FunctionCounter.builder(Metric.PEER_FRAMES.meterName(), this, m -> m.gauges.frames())
        .register(registry);
    counter(Metric.RELAYS_SENT, RelayCounts::sent);
    counter(Metric.RELAYS_ACCEPTED, RelayCounts::accepted);
    counter(Metric.RELAYS_REFUSED, RelayCounts::refused);
  }

  private void counter(Metric metric, ToDoubleFunction<RelayCounts> value) {
    FunctionCounter.builder(metric.meterName(), relayCounts, value).register(registry);
  }

  /** Returns the counts of relayed requests, which are exported as metrics. */
  public RelayCounts relayCounts() {
    return relayCounts;
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
    metersByKind.computeIfAbsent(kind, k -> RequestMeters.register(registry, k)).record(outcome);
    if (outcome.code() == ResultCode.PROMPT_QUARANTINED) {
      quarantineRefusals.increment();
    }
  }

  /** Records a look-up in the directory. */
  public void recordLookUp(LookUpResult result) {
    lookUps(result).increment();
  }

  private Counter lookUps(LookUpResult result) {
    return Counter.builder(Metric.LOOK_UPS.meterName())
        .tag("result", Ascii.toLowerCase(result.name()))
        .register(registry);
  }

  /** Sets the number of evacuated failure domains. */
  public void setEvacuatedDomains(int count) {
    evacuatedDomains = count;
  }

  /** Publishes the values of the gauges. */
  public void publish(NodeGauges values) {
    gauges = values;
  }

  /** Publishes the figures of the endpoint allowances. */
  public void publish(AllowanceCounts counts) {
    allowances = counts;
  }

  /** Records how the node started. */
  public void recordStart(StartFigures figures) {
    start = figures;
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

  private void gauge(Metric metric, ToDoubleFunction<NodeGauges> value) {
    register(metric, m -> value.applyAsDouble(m.gauges));
  }

  private void allowanceGauge(Metric metric, ToDoubleFunction<AllowanceCounts> value) {
    register(metric, m -> value.applyAsDouble(m.allowances));
  }

  private void startGauge(Metric metric, ToDoubleFunction<StartFigures> value) {
    register(metric, m -> value.applyAsDouble(m.start));
  }

  private void register(Metric metric, ToDoubleFunction<NodeMetrics> value) {
    Gauge.Builder<NodeMetrics> gauge = Gauge.builder(metric.meterName(), this, value);
    if (!metric.unit().isEmpty()) {
      gauge.baseUnit(metric.unit());
    }
    gauge.register(registry);
  }
}
