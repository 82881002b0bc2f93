package org.currantslip.node.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.mirror.KindMirror;
import org.currantslip.core.mirror.MirrorOptions;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.rollout.RolloutOrder;
import org.currantslip.core.route.RouteHolder;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.routing.EndpointRegistry;
import org.currantslip.node.log.EventLog;
import org.currantslip.platform.EndpointEntryReader;
import org.currantslip.platform.RolloutOrderCodec;
import org.currantslip.platform.RouteTableReader;
import org.currantslip.platform.UnreadableEntryException;
import org.currantslip.schema.EndpointRecord;

/**
 * Local copies of the configuration, endpoint and rollout objects in the store, decoded for this
 * node.
 */
final class StoreMirrors {
  private final KindMirror config;
  private final KindMirror endpoints;
  private final KindMirror rollouts;
  private final RouteHolder routes = RouteHolder.create();

  private StoreMirrors(KindStore kindStore, Clock clock, long seed) {
    MirrorOptions options = MirrorOptions.defaults();
    config = KindMirror.create(RouteTableReader.KIND, kindStore, clock, options, seed);
    endpoints = KindMirror.create(EndpointEntryReader.KIND, kindStore, clock, options, seed + 1);
    rollouts = KindMirror.create(RolloutOrderCodec.KIND, kindStore, clock, options, seed + 2);
    all().forEach(m -> m.setLinkListener(link -> logLinkChange(m, link)));
    config.setChangeListener(this::readConfig);
  }

  static StoreMirrors create(KindStore kindStore, Clock clock, long seed) {
    return new StoreMirrors(kindStore, clock, seed);
  }

  List<KindMirror> all() {
    return List.of(config, endpoints, rollouts);
  }

  RouteHolder routes() {
    return routes;
  }

  KindMirror config() {
    return config;
  }

  /** Sets the registry that receives the endpoints and the ends of store outages. */
  void connectRegistry(EndpointRegistry registry) {
    endpoints.setChangeListener(() -> registry.onEntries(readEndpoints()));
    endpoints.setLinkListener(
        link -> {
          logLinkChange(endpoints, link);
          if (link == KindMirror.Link.REGAINED) {
            registry.onStoreRegained(endpoints.lastOutageMs());
          }
        });
  }

  /** Sets the listener that receives the rollout orders after each change. */
  void onRolloutOrders(Consumer<List<RolloutOrder>> listener) {
    rollouts.setChangeListener(() -> listener.accept(readOrders()));
  }

  void tick() {
    all().forEach(KindMirror::tick);
  }

  private static void logLinkChange(KindMirror mirror, KindMirror.Link link) {
    LogEvent event = link == KindMirror.Link.LOST ? LogEvent.STORE_LOST : LogEvent.STORE_REGAINED;
    EventLog.write(
        event,
        "kind=%s revision=%d outage_ms=%d"
            .formatted(mirror.kind(), mirror.revision(), mirror.lastOutageMs()));
  }

  private void readConfig() {
    Optional.ofNullable(config.objects().get(RouteTableReader.NAME))
        .ifPresent(
            object -> {
              try {
                RouteTable table = RouteTableReader.read(object.spec());
                if (routes.replaceIfNewer(table)) {
                  EventLog.write(
                      LogEvent.CONFIG_IN_FORCE,
                      "version=%d routes=%d revision=%d"
                          .formatted(table.version(), table.size(), object.version()));
                }
              } catch (UnreadableEntryException e) {
                logUnreadable(RouteTableReader.KIND, object, e);
              }
            });
  }

  private List<EndpointRecord> readEndpoints() {
    List<EndpointRecord> records = new ArrayList<>();
    for (KindObject object : endpoints.objects().values()) {
      try {
        records.add(EndpointEntryReader.read(object.name(), object.spec()));
      } catch (UnreadableEntryException e) {
        logUnreadable(EndpointEntryReader.KIND, object, e);
      }
    }
    return records;
  }

  private List<RolloutOrder> readOrders() {
    List<RolloutOrder> orders = new ArrayList<>();
    for (KindObject object : rollouts.objects().values()) {
      try {
        orders.add(RolloutOrderCodec.read(object));
      } catch (UnreadableEntryException e) {
        logUnreadable(RolloutOrderCodec.KIND, object, e);
      }
    }
    return orders;
  }

  private static void logUnreadable(String kind, KindObject object, UnreadableEntryException e) {
    EventLog.write(
        LogEvent.ENTRY_UNREADABLE,
        "kind=%s object=%s version=%d reason=%s"
            .formatted(kind, object.name(), object.version(), e.getMessage()));
  }
}
