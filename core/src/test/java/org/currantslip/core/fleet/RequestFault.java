package org.currantslip.core.fleet;

import java.util.function.BiConsumer;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.StoreFault;

/** The faults of the brief as they meet the node that serves a request. */
enum RequestFault {
  NODE_KILLED(RequestFault::kill, RequestFault::declareGone),
  NODE_RESTARTED(RequestFault::restart, RequestFault::nothing),
  NODE_FROZEN(RequestFault::freeze, RequestFault::thaw),
  NODE_CUT_FROM_STORE(RequestFault::cutStore, RequestFault::restoreStore),
  NODE_CUT_FROM_PEERS(RequestFault::cutPeers, RequestFault::restorePeers),
  STORE_OUT(RequestFault::storeOut, RequestFault::storeBack),
  STORE_SLOW(RequestFault::storeSlow, RequestFault::storeBack),
  STORE_ANSWER_LOST(RequestFault::storeLosesAnswers, RequestFault::storeBack),
  ENDPOINT_BREAKS_BEFORE_RUN(endpoint(FleetEndpoints.Fault.BROKEN_BEFORE_RUN), healed()),
  ENDPOINT_BREAKS_AFTER_RUN(endpoint(FleetEndpoints.Fault.BROKEN_AFTER_RUN), healed()),
  ENDPOINT_SILENT(endpoint(FleetEndpoints.Fault.SILENT), healed()),
  ENDPOINT_REFUSES(endpoint(FleetEndpoints.Fault.REFUSED), healed()),
  ANSWER_CROSSED(endpoint(FleetEndpoints.Fault.CROSSED), healed()),
  ANSWER_TRUNCATED(endpoint(FleetEndpoints.Fault.TRUNCATED), healed()),
  ANSWER_LATE(endpoint(FleetEndpoints.Fault.LATE), healed()),
  CALLER_HANGS_UP(RequestFault::nothing, RequestFault::nothing),
  CONFIG_OUTDATED(RequestFault::outdateConfig, RequestFault::refreshConfig);

  private static final long NORMAL_MS = 5;
  private static final long SLOW_MS = 1_500;

  private final BiConsumer<Fleet, String> start;
  private final BiConsumer<Fleet, String> stop;

  RequestFault(BiConsumer<Fleet, String> start, BiConsumer<Fleet, String> stop) {
    this.start = start;
    this.stop = stop;
  }

  private static void nothing(Fleet fleet, String node) {}

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

  private static void cutStore(Fleet fleet, String node) {
    fleet.node(node).link.setCut(true);
  }

  private static void restoreStore(Fleet fleet, String node) {
    fleet.node(node).link.setCut(false);
  }

  private static void cutPeers(Fleet fleet, String node) {
    fleet.cutPeers(node, true);
    fleet.suspect(node);
  }

  private static void restorePeers(Fleet fleet, String node) {
    fleet.cutPeers(node, false);
    fleet.unsuspect(node);
  }

  private static void storeOut(Fleet fleet, String node) {
    fleet.store.setOut(true);
  }

  private static void storeSlow(Fleet fleet, String node) {
    fleet.store.setLatencyMs(SLOW_MS);
  }

  private static void storeLosesAnswers(Fleet fleet, String node) {
    fleet.store.setFaultPlan((call, name) -> lost(call));
  }

  private static void storeBack(Fleet fleet, String node) {
    fleet.store.setOut(false);
    fleet.store.setLatencyMs(NORMAL_MS);
    fleet.store.setFaultPlan((call, name) -> StoreFault.NONE);
  }

  private static void outdateConfig(Fleet fleet, String node) {
    fleet.node(node).setFresh(false);
  }

  private static void refreshConfig(Fleet fleet, String node) {
    fleet.node(node).setFresh(true);
  }

  private static BiConsumer<Fleet, String> endpoint(FleetEndpoints.Fault fault) {
    return (f, node) -> f.endpoints.setFault(fault);
  }

  private static BiConsumer<Fleet, String> healed() {
    return (f, node) -> f.endpoints.setFault(FleetEndpoints.Fault.NONE);
  }

  private static StoreFault lost(FakeObjectStore.Call call) {
    return call == FakeObjectStore.Call.CREATE ? StoreFault.LOST_ANSWER : StoreFault.NONE;
  }

  void start(Fleet fleet, String node) {
    start.accept(fleet, node);
  }

  void stop(Fleet fleet, String node) {
    stop.accept(fleet, node);
  }
}
