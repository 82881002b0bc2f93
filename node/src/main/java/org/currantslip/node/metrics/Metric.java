package org.currantslip.node.metrics;

import java.util.List;

/**
 * All metrics of a node.
 *
 * <p>They are documented in {@code docs/METRICS.md}. Label values are taken from bounded sets.
 */
public enum Metric {
  REQUESTS("currantslip.requests", Kind.COUNTER, "", List.of("kind", "code", "ran")),
  REQUEST_DURATION("currantslip.request.duration", Kind.TIMER, "seconds", List.of("kind")),
  FIRST_BYTE("currantslip.request.first.byte", Kind.TIMER, "seconds", List.of("kind")),
  ENDPOINT_CALLS("currantslip.endpoint.calls", Kind.COUNTER, "", List.of("kind")),
  COST("currantslip.cost.micros", Kind.COUNTER, "", List.of()),
  IN_FLIGHT("currantslip.requests.in.flight", Kind.GAUGE, "", List.of()),
  DECISION_BACKLOG("currantslip.decision.backlog", Kind.GAUGE, "", List.of()),
  LIVE_NODES("currantslip.nodes.live", Kind.GAUGE, "", List.of()),
  ENTRY_NODES("currantslip.nodes.entry", Kind.GAUGE, "", List.of()),
  PEER_LINKS("currantslip.peer.links", Kind.GAUGE, "", List.of()),
  PEER_FRAMES("currantslip.peer.frames", Kind.COUNTER, "", List.of()),
  ENDPOINTS("currantslip.endpoints", Kind.GAUGE, "", List.of()),
  CONFIG_VERSION("currantslip.config.version", Kind.GAUGE, "", List.of()),
  CONFIG_AGE("currantslip.config.age", Kind.GAUGE, "seconds", List.of()),
  QUARANTINE_REFUSALS("currantslip.quarantine.refusals", Kind.COUNTER, "", List.of()),
  START_READY("currantslip.start.ready", Kind.GAUGE, "seconds", List.of()),
  START_WARM_UP("currantslip.start.warm.up", Kind.GAUGE, "seconds", List.of()),
  START_PROCESSOR("currantslip.start.processor", Kind.GAUGE, "seconds", List.of()),
  START_CALLS("currantslip.start.calls", Kind.GAUGE, "", List.of()),
  QUARANTINED_PARTS("currantslip.quarantine.parts", Kind.GAUGE, "", List.of()),
  EVACUATED_DOMAINS("currantslip.evacuated.domains", Kind.GAUGE, "", List.of()),
  LOOK_UPS("currantslip.directory.lookups", Kind.COUNTER, "", List.of("result")),
  RELAYS_SENT("currantslip.relays.sent", Kind.COUNTER, "", List.of()),
  RELAYS_ACCEPTED("currantslip.relays.accepted", Kind.COUNTER, "", List.of()),
  RELAYS_REFUSED("currantslip.relays.refused", Kind.COUNTER, "", List.of()),
  COLD_ENDPOINTS("currantslip.endpoints.cold", Kind.GAUGE, "", List.of()),
  BRITTLE_SERVICES("currantslip.services.brittle", Kind.GAUGE, "", List.of()),
  SLOTS_LENT("currantslip.slots.lent", Kind.GAUGE, "", List.of()),
  SLOTS_HELD("currantslip.slots.held", Kind.GAUGE, "", List.of());

  /** Type of a metric. */
  public enum Kind {
    COUNTER,
    GAUGE,
    TIMER
  }

  private final String meterName;
  private final Kind kind;
  private final String unit;
  private final List<String> labels;

  Metric(String meterName, Kind kind, String unit, List<String> labels) {
    this.meterName = meterName;
    this.kind = kind;
    this.unit = unit;
    this.labels = labels;
  }

  /** Returns the meter name, which the registry converts to Prometheus form. */
  public String meterName() {
    return meterName;
  }

  /** Returns the type of the metric. */
  public Kind kind() {
    return kind;
  }

  /** Returns the base unit; empty if the metric has none. */
  public String unit() {
    return unit;
  }

  /** Returns the label names. */
  public List<String> labels() {
    return labels;
  }
}
