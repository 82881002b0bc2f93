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

/** Copies of the operators' and the endpoints' objects, and what they mean to this node. */
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
    all().forEach(m -> m.setLinkListener(link -> noteLink(m, link)));
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

  /** Sets who is told of the endpoints. */
  void feed(EndpointRegistry registry) {
    endpoints.setChangeListener(() -> registry.onEntries(readEndpoints()));
    endpoints.setLinkListener(
        link -> {
          noteLink(endpoints, link);
          if (link == KindMirror.Link.REGAINED) {
            registry.onStoreRegained(endpoints.lastOutageMs());
          }
        });
  }

  /** Sets who is told of the orders to roll out. */
  void onOrders(Consumer<List<RolloutOrder>> listener) {
    rollouts.setChangeListener(() -> listener.accept(readOrders()));
  }

  void tick() {
    all().forEach(KindMirror::tick);
  }

  private static void noteLink(KindMirror mirror, KindMirror.Link link) {
    LogEvent event = link == KindMirror.Link.LOST ? LogEvent.STORE_LOST : LogEvent.STORE_REGAINED;
    EventLog.write(
        event,
        "kind=%s revision=%d outage_ms=%d"
            .formatted(mirror.kind(), mirror.revision(), mirror.lastOutageMs()));
  }

  private void readConfig() {
    Optional.ofNullable(config.objects().get(RouteTableReader.NAME))
        .ifPresent(
            o -> {
              try {
                RouteTable table = RouteTableReader.read(o.spec());
                if (routes.replaceIfNewer(table)) {
                  EventLog.write(
                      LogEvent.CONFIG_IN_FORCE,
                      "version=%d routes=%d revision=%d"
                          .formatted(table.version(), table.size(), o.version()));
                }
              } catch (UnreadableEntryException e) {
                noteUnreadable(RouteTableReader.KIND, o, e);
              }
            });
  }

  private List<EndpointRecord> readEndpoints() {
    List<EndpointRecord> read = new ArrayList<>();
    for (KindObject o : endpoints.objects().values()) {
      try {
        read.add(EndpointEntryReader.read(o.name(), o.spec()));
      } catch (UnreadableEntryException e) {
        noteUnreadable(EndpointEntryReader.KIND, o, e);
      }
    }
    return read;
  }

  private List<RolloutOrder> readOrders() {
    List<RolloutOrder> read = new ArrayList<>();
    for (KindObject o : rollouts.objects().values()) {
      try {
        read.add(RolloutOrderCodec.read(o));
      } catch (UnreadableEntryException e) {
        noteUnreadable(RolloutOrderCodec.KIND, o, e);
      }
    }
    return read;
  }

  private static void noteUnreadable(String kind, KindObject o, UnreadableEntryException e) {
    EventLog.write(
        LogEvent.ENTRY_UNREADABLE,
        "kind=%s object=%s version=%d reason=%s"
            .formatted(kind, o.name(), o.version(), e.getMessage()));
  }
}
