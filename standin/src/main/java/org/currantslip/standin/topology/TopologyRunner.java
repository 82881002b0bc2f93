package org.currantslip.standin.topology;

import java.util.HashMap;
import java.util.Map;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.VmList;
import org.currantslip.standin.engine.EngineOptions;
import org.currantslip.standin.engine.ModelEngine;
import org.currantslip.standin.engine.VersionProfile;
import org.currantslip.standin.http.StandinApp;
import org.currantslip.standin.http.StandinServer;
import org.currantslip.standin.object.ObjectApi;
import org.currantslip.standin.rating.RatingApp;
import org.currantslip.standin.service.PlainService;
import org.currantslip.standin.vmlist.VmListApp;
import org.currantslip.standin.weights.WeightStoreApp;

/** Starts the stand-ins of a topology, endpoints first, so that the VM list knows their ports. */
public final class TopologyRunner {
  private final StandinServer server;
  private final Topology topology;
  private final Clock clock = System::currentTimeMillis;
  private final VmList.Builder vms = VmList.newBuilder().setVersion(1);
  private final Map<String, Integer> ports = new HashMap<>();

  private TopologyRunner(StandinServer server, Topology topology) {
    this.server = server;
    this.topology = topology;
  }

  /** Starts every stand-in and returns their ports by name. */
  public static Map<String, Integer> run(StandinServer server, Topology topology) {
    TopologyRunner runner = new TopologyRunner(server, topology);
    Topology.orEmpty(topology.engines()).forEach(runner::addEngine);
    Topology.orEmpty(topology.services()).forEach(runner::addService);
    runner.addPlatform();
    return runner.ports;
  }

  private void addPlatform() {
    Topology.ObjectApiPart objects = topology.objectApi();
    if (objects != null) {
      add(
          "object-api",
          objects.port(),
          ObjectApi.create(server.delays(), objects.readsPerS(), objects.writesPerS()));
    }
    Topology.VmListPart list = topology.vmList();
    if (list != null) {
      add("vm-list", list.port(), VmListApp.create(clock, list.lagMs(), vms.build()));
    }
    Topology.WeightStorePart weights = topology.weightStore();
    if (weights != null) {
      add(
          "weight-store",
          weights.port(),
          WeightStoreApp.create(server.delays(), weights.fetchesPerS(), weights.transferMs()));
    }
    Topology.RatingPart ratings = topology.ratingService();
    if (ratings != null) {
      add("rating-service", ratings.port(), RatingApp.create(clock, ratings.lagMs()));
    }
  }

  private void addEngine(Topology.EnginePart part) {
    EngineOptions options =
        new EngineOptions(
            part.id(),
            part.model(),
            part.version(),
            part.slots(),
            part.loadLagMs(),
            part.loadMs(),
            part.checksFencing(),
            part.cachedPrefixes(),
            part.eventGap(),
            topology.seed(),
            profiles(part.model()));
    int port = add(part.id(), part.port(), ModelEngine.create(options, clock, server.delays()));
    vms.addEndpoint(
        endpoint(part.id(), port, part.failureDomain())
            .setModel(part.model())
            .setVersion(part.version())
            .setChecksFencing(part.checksFencing())
            .setSlots(part.slots()));
  }

  private void addService(Topology.ServicePart part) {
    int port = add(part.id(), part.port(), PlainService.create(part.id()));
    vms.addEndpoint(endpoint(part.id(), port, part.failureDomain()).setService(part.service()));
  }

  private EndpointRecord.Builder endpoint(String id, int port, String failureDomain) {
    return EndpointRecord.newBuilder()
        .setId(id)
        .setAddress(topology.host() + ":" + port)
        .setRegion(topology.region())
        .setFailureDomain(failureDomain);
  }

  private Map<String, VersionProfile> profiles(String model) {
    Map<String, VersionProfile> found = new HashMap<>();
    Topology.orEmpty(topology.profiles()).stream()
        .filter(p -> p.model().equals(model))
        .forEach(
            p ->
                found.put(
                    p.version(),
                    new VersionProfile(
                        p.tokenMs(), p.prefillMs(), p.tokens(), p.quality(), p.errorShare())));
    return found;
  }

  private int add(String name, int port, StandinApp app) {
    int opened = server.add(topology.host(), port, app, topology.seed());
    ports.put(name, opened);
    return opened;
  }
}
