package org.currantslip.core.fleet;

import java.util.function.Consumer;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.StoreFault;

/** The faults of the brief as they meet the node that serves a request. */
enum RequestFault {
  NODE_KILLED(f -> f.node("n1").kill(), f -> f.declareGone(f.node("n1"))),
  NODE_RESTARTED(f -> f.start("n1"), f -> {}),
  NODE_FROZEN(
      f -> {
        f.node("n1").freeze();
        f.suspect("n1");
      },
      f -> {
        f.node("n1").thaw();
        f.unsuspect("n1");
      }),
  NODE_CUT_FROM_STORE(f -> f.node("n1").link.setCut(true), f -> f.node("n1").link.setCut(false)),
  NODE_CUT_FROM_PEERS(
      f -> {
        f.cutPeers("n1", true);
        f.suspect("n1");
      },
      f -> {
        f.cutPeers("n1", false);
        f.unsuspect("n1");
      }),
  STORE_OUT(f -> f.store.setOut(true), f -> f.store.setOut(false)),
  STORE_SLOW(f -> f.store.setLatencyMs(1_500), f -> f.store.setLatencyMs(5)),
  STORE_ANSWER_LOST(
      f -> f.store.setFaultPlan((call, name) -> lost(call)),
      f -> f.store.setFaultPlan((call, name) -> StoreFault.NONE)),
  ENDPOINT_BREAKS_BEFORE_RUN(endpoint(FleetEndpoints.Fault.BROKEN_BEFORE_RUN), healed()),
  ENDPOINT_BREAKS_AFTER_RUN(endpoint(FleetEndpoints.Fault.BROKEN_AFTER_RUN), healed()),
  ENDPOINT_SILENT(endpoint(FleetEndpoints.Fault.SILENT), healed()),
  ENDPOINT_REFUSES(endpoint(FleetEndpoints.Fault.REFUSED), healed()),
  ANSWER_CROSSED(endpoint(FleetEndpoints.Fault.CROSSED), healed()),
  ANSWER_TRUNCATED(endpoint(FleetEndpoints.Fault.TRUNCATED), healed()),
  ANSWER_LATE(endpoint(FleetEndpoints.Fault.LATE), healed()),
  CALLER_HANGS_UP(f -> {}, f -> {}),
  CONFIG_OUTDATED(f -> f.node("n1").setFresh(false), f -> f.node("n1").setFresh(true));

  private final Consumer<Fleet> start;
  private final Consumer<Fleet> stop;

  RequestFault(Consumer<Fleet> start, Consumer<Fleet> stop) {
    this.start = start;
    this.stop = stop;
  }

  private static Consumer<Fleet> endpoint(FleetEndpoints.Fault fault) {
    return f -> f.endpoints.setFault(fault);
  }

  private static Consumer<Fleet> healed() {
    return f -> f.endpoints.setFault(FleetEndpoints.Fault.NONE);
  }

  private static StoreFault lost(FakeObjectStore.Call call) {
    return call == FakeObjectStore.Call.CREATE ? StoreFault.LOST_ANSWER : StoreFault.NONE;
  }

  void start(Fleet fleet) {
    start.accept(fleet);
  }

  void stop(Fleet fleet) {
    stop.accept(fleet);
  }
}
