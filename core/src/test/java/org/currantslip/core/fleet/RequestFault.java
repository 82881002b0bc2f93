package org.currantslip.core.fleet;

import java.util.function.BiConsumer;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.StoreFault;

/** Faults that can be injected at the node that serves a request. */
enum RequestFault {
  NODE_KILLED(RequestFault::kill, RequestFault::declareGone),
  NODE_RESTARTED(RequestFault::restart, RequestFault::noOp),
  NODE_FROZEN(RequestFault::freeze, RequestFault::thaw),
  NODE_CUT_FROM_STORE(RequestFault::cutFromStore, RequestFault::restoreStore),
  NODE_CUT_FROM_PEERS(RequestFault::cutFromPeers, RequestFault::restorePeers),
  STORE_OUT(RequestFault::startStoreOutage, RequestFault::restoreStoreCalls),
  STORE_SLOW(RequestFault::slowStore, RequestFault::restoreStoreCalls),
  STORE_ANSWER_LOST(RequestFault::loseStoreAnswers, RequestFault::restoreStoreCalls),
  ENDPOINT_BREAKS_BEFORE_RUN(endpoint(FleetEndpoints.Fault.BROKEN_BEFORE_RUN), endpointRestored()),
  ENDPOINT_BREAKS_AFTER_RUN(endpoint(FleetEndpoints.Fault.BROKEN_AFTER_RUN), endpointRestored()),
  ENDPOINT_SILENT(endpoint(FleetEndpoints.Fault.SILENT), endpointRestored()),
  ENDPOINT_REFUSES(endpoint(FleetEndpoints.Fault.REFUSED), endpointRestored()),
  ANSWER_CROSSED(endpoint(FleetEndpoints.Fault.CROSSED), endpointRestored()),
  ANSWER_TRUNCATED(endpoint(FleetEndpoints.Fault.TRUNCATED), endpointRestored()),
  ANSWER_LATE(endpoint(FleetEndpoints.Fault.LATE), endpointRestored()),
  CALLER_HANGS_UP(RequestFault::noOp, RequestFault::noOp),
  CONFIG_OUTDATED(RequestFault::outdateConfig, RequestFault::refreshConfig);

  private static final long NORMAL_STORE_LATENCY_MS = 5;
  private static final long SLOW_STORE_LATENCY_MS = 1_500;

  private final BiConsumer<Fleet, String> start;
  private final BiConsumer<Fleet, String> stop;

  RequestFault(BiConsumer<Fleet, String> start, BiConsumer<Fleet, String> stop) {
    this.start = start;
    this.stop = stop;
  }

  private static void noOp(Fleet fleet, String node) {}

  private static void kill(Fleet fleet, String node) {
    fleet.node(node).kill();
  }

  private static void declareGone(Fleet fleet, String node) {
    fleet.declareGone(fleet.node(node));
  }

  private static void restart(Fleet fleet, String node) {
    FleetNode unused = fleet.start(node);
  }

  private static void freeze(Fleet fleet, String node) {
    fleet.node(node).freeze();
    fleet.suspect(node);
  }

  private static void thaw(Fleet fleet, String node) {
    fleet.node(node).thaw();
    fleet.unsuspect(node);
  }

  private static void cutFromStore(Fleet fleet, String node) {
    fleet.node(node).link.setCut(true);
  }

  private static void restoreStore(Fleet fleet, String node) {
    fleet.node(node).link.setCut(false);
  }

  private static void cutFromPeers(Fleet fleet, String node) {
    fleet.cutPeers(node, true);
    fleet.suspect(node);
  }

  private static void restorePeers(Fleet fleet, String node) {
    fleet.cutPeers(node, false);
    fleet.unsuspect(node);
  }

  private static void startStoreOutage(Fleet fleet, String node) {
    fleet.store.setUnavailable(true);
  }

  private static void slowStore(Fleet fleet, String node) {
    fleet.store.setLatencyMs(SLOW_STORE_LATENCY_MS);
  }

  private static void loseStoreAnswers(Fleet fleet, String node) {
    fleet.store.setFaultPlan((call, name) -> lostCreateAnswer(call));
  }

  private static void restoreStoreCalls(Fleet fleet, String node) {
    fleet.store.setUnavailable(false);
    fleet.store.setLatencyMs(NORMAL_STORE_LATENCY_MS);
    fleet.store.setFaultPlan((call, name) -> StoreFault.NONE);
  }

  private static void outdateConfig(Fleet fleet, String node) {
    fleet.node(node).setFresh(false);
  }

  private static void refreshConfig(Fleet fleet, String node) {
    fleet.node(node).setFresh(true);
  }

  private static BiConsumer<Fleet, String> endpoint(FleetEndpoints.Fault fault) {
    return (fleet, node) -> fleet.endpoints.setFault(fault);
  }

  private static BiConsumer<Fleet, String> endpointRestored() {
    return (fleet, node) -> fleet.endpoints.setFault(FleetEndpoints.Fault.NONE);
  }

  private static StoreFault lostCreateAnswer(FakeObjectStore.Call call) {
    return call == FakeObjectStore.Call.CREATE ? StoreFault.LOST_ANSWER : StoreFault.NONE;
  }

  void start(Fleet fleet, String node) {
    start.accept(fleet, node);
  }

  void stop(Fleet fleet, String node) {
    stop.accept(fleet, node);
  }
}
