package org.currantslip.node.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.RequestOutcome;

/**
 * Meters of one kind of requests, kept because the look-up of a meter in the registry takes longer
 * than counting with it.
 */
final class RequestMeters {
  private static final Duration[] HISTOGRAM_BUCKETS = {
    Duration.ofMillis(10),
    Duration.ofMillis(50),
    Duration.ofMillis(200),
    Duration.ofMillis(550),
    Duration.ofSeconds(1),
    Duration.ofSeconds(5),
    Duration.ofSeconds(30)
  };

  private final MeterRegistry registry;
  private final String kind;
  private final Timer duration;
  private final Timer firstByte;
  private final Counter endpointCalls;
  private final Counter cost;
  private final Map<ResultCode, Map<Ran, Counter>> requests = new ConcurrentHashMap<>();

  private RequestMeters(MeterRegistry registry, String kind) {
    this.registry = registry;
    this.kind = kind;
    duration = timer(Metric.REQUEST_DURATION);
    firstByte = timer(Metric.FIRST_BYTE);
    endpointCalls =
        Counter.builder(Metric.ENDPOINT_CALLS.meterName()).tag("kind", kind).register(registry);
    cost = Counter.builder(Metric.COST.meterName()).register(registry);
  }

  static RequestMeters register(MeterRegistry registry, String kind) {
    return new RequestMeters(registry, kind);
  }

  void record(RequestOutcome outcome) {
    requests
        .computeIfAbsent(outcome.code(), c -> new ConcurrentHashMap<>())
        .computeIfAbsent(outcome.ran(), ran -> counter(outcome.code(), ran))
        .increment();
    duration.record(outcome.totalMs(), TimeUnit.MILLISECONDS);
    firstByte.record(outcome.firstByteMs(), TimeUnit.MILLISECONDS);
    endpointCalls.increment(outcome.attempts());
    cost.increment(outcome.costMicros());
  }

  private Counter counter(ResultCode code, Ran ran) {
    return Counter.builder(Metric.REQUESTS.meterName())
        .tag("kind", kind)
        .tag("code", String.valueOf(code.number()))
        .tag("ran", ran.text())
        .register(registry);
  }

  private Timer timer(Metric metric) {
    return Timer.builder(metric.meterName())
        .tag("kind", kind)
        .serviceLevelObjectives(HISTOGRAM_BUCKETS)
        .register(registry);
  }
}
