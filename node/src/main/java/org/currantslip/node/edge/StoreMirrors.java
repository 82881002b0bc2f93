package org.currantslip.node.edge;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.evacuation.EvacuationOrder;
import org.currantslip.core.evacuation.Evacuations;
import org.currantslip.core.mirror.KindMirror;
import org.currantslip.core.mirror.MirrorOptions;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.port.StorePosition;
import org.currantslip.core.rollout.RolloutOrder;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.route.RouteHolder;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.routing.EndpointRegistry;
import org.currantslip.node.log.EventLog;
import org.currantslip.platform.EndpointEntryReader;
import org.currantslip.platform.EvacuationOrderCodec;
import org.currantslip.platform.RolloutOrderCodec;
import org.currantslip.platform.RouteTableReader;
import org.currantslip.platform.UnreadableEntryException;
import org.currantslip.schema.EndpointRecord;

/**
 * Local copies of the configuration, endpoint and order objects in the store, decoded for this
 * node.
 */
final class StoreMirrors {
  /** Time within which operators write orders again that the store has lost. */
  private static final long ORDER_REWRITE_MS = 10_000;

  private static final int MAX_LOGGED_OBJECTS = 1_024;

  private final KindMirror config;
  private final KindMirror endpoints;
  private final KindMirror rollouts;
  private final Optional<KindMirror> evacuations;
  private final RouteHolder routes = RouteHolder.create();
  private final Clock clock;
  private final ImmutableMap<String, String> regionByDomain;
  private final Map<String, RolloutOrder> readableOrders = new TreeMap<>();

  /** Versions of the unreadable objects that were logged, by kind and name. */
  private final Cache<String, Long> unreadableVersions =
      CacheBuilder.newBuilder().maximumSize(MAX_LOGGED_OBJECTS).concurrencyLevel(1).build();

  private Runnable ordersReader = () -> {};
  private Runnable restoreListener = () -> {};
  private Runnable configListener = () -> {};
  private LongSupplier configBehindMs = () -> 0;
  private long ordersLackUntilMs;

  private StoreMirrors(
      KindStore kindStore,
      Clock clock,
      long seed,
      ImmutableMap<String, String> regionByDomain,
      boolean withEvacuations) {
    this.clock = clock;
    this.regionByDomain = regionByDomain;
    MirrorOptions options = MirrorOptions.defaults();
    config = KindMirror.create(RouteTableReader.KIND, kindStore, clock, options, seed);
    endpoints = KindMirror.create(EndpointEntryReader.KIND, kindStore, clock, options, seed + 1);
    rollouts = KindMirror.create(RolloutOrderCodec.KIND, kindStore, clock, options, seed + 2);
    evacuations =
        withEvacuations
            ? Optional.of(
                KindMirror.create(EvacuationOrderCodec.KIND, kindStore, clock, options, seed + 3))
            : Optional.empty();
    config.setLinkListener(
        link -> {
          logLinkChange(config, link);
          if (link == KindMirror.Link.RESTORED) {
            restoreListener.run();
          }
        });
    rollouts.setLinkListener(
        link -> {
          logLinkChange(rollouts, link);
          if (link == KindMirror.Link.RESTORED) {
            ordersLackUntilMs = clock.nowMs() + ORDER_REWRITE_MS;
          }
        });
    config.setChangeListener(this::readConfig);
    config.setContentVersion(object -> RouteTableReader.version(object.spec()));
  }

  /**
   * Creates empty copies.
   *
   * @param regionByDomain region of each failure domain, where it is known
   * @param withEvacuations whether the store holds orders to evacuate failure domains
   */
  static StoreMirrors create(
      KindStore kindStore,
      Clock clock,
      long seed,
      ImmutableMap<String, String> regionByDomain,
      boolean withEvacuations) {
    return new StoreMirrors(kindStore, clock, seed, regionByDomain, withEvacuations);
  }

  List<KindMirror> all() {
    return Stream.concat(Stream.of(config, endpoints, rollouts), evacuations.stream()).toList();
  }

  RouteHolder routes() {
    return routes;
  }

  /** Returns whether a configuration, the endpoints and the evacuation orders are known. */
  boolean isUsable() {
    return routes.current().version() > 0
        && !endpoints.position().equals(StorePosition.NONE)
        && evacuations.map(KindMirror::isKnown).orElse(true);
  }

  KindMirror config() {
    return config;
  }

  /** Sets the source of the time for which this node has known of a newer configuration. */
  void setConfigBehind(LongSupplier behindMs) {
    configBehindMs = behindMs;
  }

  /** Sets the listener that runs when a new configuration is in force. */
  void onNewConfig(Runnable listener) {
    configListener = listener;
  }

  /** Sets the listener that runs when the store has returned from an older copy. */
  void onStoreRestored(Runnable listener) {
    restoreListener = listener;
  }

  /** Sets the registry that receives the endpoints and the ends of store outages. */
  void connectRegistry(EndpointRegistry registry) {
    endpoints.setChangeListener(() -> registry.onEntries(readEndpoints()));
    endpoints.setLinkListener(
        link -> {
          logLinkChange(endpoints, link);
          if (link == KindMirror.Link.REGAINED) {
            registry.onStoreRegained(endpoints.lastOutageMs());
          } else if (link == KindMirror.Link.RESTORED) {
            registry.onStoreRestored();
          }
        });
  }

  /** Connects the rollouts, which receive the orders after each change. */
  void connectRollouts(ServiceRollouts serviceRollouts) {
    ordersReader = () -> serviceRollouts.onOrders(readOrders(), ordersLackUntilMs > 0);
    rollouts.setChangeListener(ordersReader);
  }

  /** Connects the evacuations, which receive the orders after each change. */
  void connectEvacuations(Evacuations target) {
    evacuations.ifPresent(
        mirror -> {
          mirror.setChangeListener(() -> readEvacuations(mirror, target));
          mirror.setLinkListener(
              link -> {
                logLinkChange(mirror, link);
                if (link == KindMirror.Link.RESTORED) {
                  target.onStoreRestored();
                }
              });
        });
  }

  void tick() {
    all().forEach(KindMirror::tick);
    if (ordersLackUntilMs > 0 && clock.nowMs() >= ordersLackUntilMs) {
      ordersLackUntilMs = 0;
      ordersReader.run();
    }
  }

  private static void logLinkChange(KindMirror mirror, KindMirror.Link link) {
    LogEvent event =
        switch (link) {
          case LOST -> LogEvent.STORE_LOST;
          case REGAINED -> LogEvent.STORE_REGAINED;
          case RESTORED -> LogEvent.STORE_RESTORED;
        };
    EventLog.write(
        event,
        "kind=%s era=%d revision=%d outage_ms=%d reason=%s"
            .formatted(
                mirror.kind(),
                mirror.position().era(),
                mirror.position().revision(),
                mirror.lastOutageMs(),
                mirror.lastFailure()));
  }

  private void readConfig() {
    Optional.ofNullable(config.objects().get(RouteTableReader.NAME))
        .ifPresent(
            object -> {
              try {
                final long startMs = clock.nowMs();
                RouteTable table = RouteTableReader.read(object.spec());
                if (routes.replaceIfNewer(table)) {
                  EventLog.write(
                      LogEvent.CONFIG_IN_FORCE,
                      "version=%d routes=%d revision=%d read_ms=%d behind_ms=%d"
                          .formatted(
                              table.version(),
                              table.size(),
                              object.version(),
                              clock.nowMs() - startMs,
                              configBehindMs.getAsLong()));
                  configListener.run();
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
        EndpointRecord record = EndpointEntryReader.read(object.name(), object.spec());
        String region = regionByDomain.getOrDefault(record.getFailureDomain(), "");
        records.add(record.toBuilder().setRegion(region).build());
      } catch (UnreadableEntryException e) {
        logUnreadable(EndpointEntryReader.KIND, object, e);
      }
    }
    return records;
  }

  /** Returns the orders; of one that has become unreadable, its last readable version. */
  private List<RolloutOrder> readOrders() {
    readableOrders.keySet().retainAll(rollouts.objects().keySet());
    for (KindObject object : rollouts.objects().values()) {
      try {
        readableOrders.put(object.name(), RolloutOrderCodec.read(object));
      } catch (UnreadableEntryException e) {
        logUnreadable(RolloutOrderCodec.KIND, object, e);
      }
    }
    return List.copyOf(readableOrders.values());
  }

  private void readEvacuations(KindMirror mirror, Evacuations target) {
    List<EvacuationOrder> orders = new ArrayList<>();
    Map<String, Long> unreadable = new HashMap<>();
    for (KindObject object : mirror.objects().values()) {
      try {
        orders.add(EvacuationOrderCodec.read(object));
      } catch (UnreadableEntryException e) {
        unreadable.put(object.name(), object.version());
        logUnreadable(EvacuationOrderCodec.KIND, object, e);
      }
    }
    target.onOrders(orders, unreadable);
  }

  private void logUnreadable(String kind, KindObject object, UnreadableEntryException e) {
    Long loggedVersion =
        unreadableVersions.asMap().put(kind + '/' + object.name(), object.version());
    if (loggedVersion != null && loggedVersion == object.version()) {
      return;
    }
    EventLog.write(
        LogEvent.ENTRY_UNREADABLE,
        "kind=%s object=%s version=%d reason=%s"
            .formatted(kind, object.name(), object.version(), e.getMessage()));
  }
}
