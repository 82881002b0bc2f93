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

/** Starts the stand-ins of a topology: endpoints first, since the VM list contains their ports. */
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
    Topology.ObjectApiSettings objects = topology.objectApi();
    if (objects != null) {
      add(
          "object-api",
          objects.port(),
          ObjectApi.create(server.delays(), objects.readsPerS(), objects.writesPerS()));
    }
    Topology.VmListSettings list = topology.vmList();
    if (list != null) {
      add("vm-list", list.port(), VmListApp.create(clock, list.lagMs(), vms.build()));
    }
    Topology.WeightStoreSettings weights = topology.weightStore();
    if (weights != null) {
      add(
          "weight-store",
          weights.port(),
          WeightStoreApp.create(server.delays(), weights.fetchesPerS(), weights.transferMs()));
    }
    Topology.RatingSettings ratings = topology.ratingService();
    if (ratings != null) {
      add("rating-service", ratings.port(), RatingApp.create(clock, ratings.lagMs()));
    }
  }

  private void addEngine(Topology.EngineSettings settings) {
    EngineOptions options =
        new EngineOptions(
            settings.id(),
            settings.model(),
            settings.version(),
            settings.slots(),
            settings.loadLagMs(),
            settings.loadMs(),
            settings.checksFencing(),
            settings.cachedPrefixes(),
            settings.eventGap(),
            topology.seed(),
            profiles(settings.model()));
    int port =
        add(settings.id(), settings.port(), ModelEngine.create(options, clock, server.delays()));
    vms.addEndpoint(
        endpoint(settings.id(), port, settings.failureDomain())
            .setModel(settings.model())
            .setVersion(settings.version())
            .setChecksFencing(settings.checksFencing())
            .setSlots(settings.slots()));
  }

  private void addService(Topology.ServiceSettings settings) {
    int port = add(settings.id(), settings.port(), PlainService.create(settings.id()));
    vms.addEndpoint(
        endpoint(settings.id(), port, settings.failureDomain()).setService(settings.service()));
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
    int listeningPort = server.add(topology.host(), port, app, topology.seed());
    ports.put(name, listeningPort);
    return listeningPort;
  }
}
