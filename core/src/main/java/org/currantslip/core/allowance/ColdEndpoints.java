package org.currantslip.core.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.route.ServiceTerms;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * Endpoints that are cold, and this node's part of the requests that they get from all nodes.
 *
 * <p>The first nodes in the order of an endpoint send to it, each one request at a time at its part
 * of the rate.
 */
final class ColdEndpoints {
  private static final double MS_PER_S = 1_000;

  /** Interval at which the endpoints that this node has a part of are found again. */
  private static final long PARTS_INTERVAL_MS = 500;

  /** Longest wait named to callers of a node without a part; another node may have one. */
  private static final long OTHER_NODE_MS = 1_000;

  private final SenderPlaces places;
  private final AllowanceOptions options;
  private final Function<String, ServiceTerms> terms;
  private final SplittableRandom random;
  private final BiConsumer<LogEvent, String> log;
  private final Map<String, Cold> coldById = new HashMap<>();
  private final Set<String> unreadable = new HashSet<>();
  private Map<String, List<String>> partsByService = Map.of();
  private long nextPartsMs;

  private ColdEndpoints(
      SenderPlaces places,
      AllowanceOptions options,
      Function<String, ServiceTerms> terms,
      SplittableRandom random,
      BiConsumer<LogEvent, String> log) {
    this.places = places;
    this.options = options;
    this.terms = terms;
    this.random = random;
    this.log = log;
  }

  /** Creates an instance that knows of no cold endpoint. */
  static ColdEndpoints create(
      SenderPlaces places,
      AllowanceOptions options,
      Function<String, ServiceTerms> terms,
      SplittableRandom random,
      BiConsumer<LogEvent, String> log) {
    return new ColdEndpoints(places, options, terms, random, log);
  }

  /** One instance of an endpoint, and the tokens that this node has for it. */
  private static final class Cold {
    private final long startedMs;
    private int announcedMs;
    private long untilMs;
    private double tokens;
    private long refilledMs;

    private Cold(long startedMs) {
      this.startedMs = startedMs;
    }

    private boolean isCold(long nowMs) {
      return nowMs < untilMs;
    }
  }

  /** Finds the endpoints that have become cold. */
  void onEndpoints(List<EndpointRecord> endpoints, long nowMs) {
    if (options.coldExcess() <= 0) {
      return;
    }
    endpoints.forEach(e -> onEndpoint(e, nowMs));
    Set<String> ids = endpoints.stream().map(EndpointRecord::getId).collect(Collectors.toSet());
    unreadable.retainAll(ids);
    coldById
        .entrySet()
        .removeIf(
            e ->
                !e.getValue().isCold(nowMs)
                    && (e.getValue().announcedMs == 0 || !ids.contains(e.getKey())));
    nextPartsMs = nowMs;
  }

  private void onEndpoint(EndpointRecord endpoint, long nowMs) {
    if (endpoint.getColdUnreadable()) {
      if (unreadable.add(endpoint.getId())) {
        log.accept(
            LogEvent.ALLOWANCE_VALUE_REFUSED,
            "endpoint=%s field=cold_time".formatted(endpoint.getId()));
      }
      return;
    }
    unreadable.remove(endpoint.getId());
    Cold known = coldById.get(endpoint.getId());
    if (known != null && known.startedMs > endpoint.getStartedMs()) {
      return;
    }
    boolean isSameInstance = known != null && known.startedMs == endpoint.getStartedMs();
    if (endpoint.getColdLeftMs() == 0) {
      if (isSameInstance && known != null) {
        known.announcedMs = 0;
      }
      return;
    }
    Cold cold = isSameInstance && known != null ? known : add(endpoint);
    // An entry that is seen again unchanged says nothing new.
    if (cold.announcedMs != endpoint.getColdLeftMs()) {
      cold.announcedMs = endpoint.getColdLeftMs();
      setCold(endpoint, cold, nowMs);
    }
  }

  private Cold add(EndpointRecord endpoint) {
    Cold added = new Cold(endpoint.getStartedMs());
    coldById.put(endpoint.getId(), added);
    return added;
  }

  private void setCold(EndpointRecord endpoint, Cold cold, long nowMs) {
    boolean wasCold = cold.isCold(nowMs);
    cold.untilMs = Math.max(cold.untilMs, nowMs + cold.announcedMs);
    if (!wasCold) {
      // Parts that begin at random fractions keep the nodes from sending at the same moment.
      cold.tokens = random.nextDouble();
      cold.refilledMs = nowMs;
      if (coldPerS(endpoint) > 0) {
        log.accept(
            LogEvent.ENDPOINT_COLD,
            "endpoint=%s left_ms=%d part_per_s=%.3f"
                .formatted(endpoint.getId(), cold.announcedMs, partPerS(endpoint)));
      }
    }
  }

  private double coldPerS(EndpointRecord endpoint) {
    return terms.apply(endpoint.getService()).coldPerS();
  }

  /** Returns the cold instance, or null if the endpoint is warm or needs no protection. */
  private @Nullable Cold coldOf(EndpointRecord endpoint, long nowMs) {
    Cold cold = coldById.get(endpoint.getId());
    return cold != null
            && cold.startedMs == endpoint.getStartedMs()
            && cold.isCold(nowMs)
            && coldPerS(endpoint) > 0
        ? cold
        : null;
  }

  boolean isCold(EndpointRecord endpoint, long nowMs) {
    return coldOf(endpoint, nowMs) != null;
  }

  /** Returns this node's part of the requests a second, zero if it has none. */
  private double partPerS(EndpointRecord endpoint) {
    double perS = coldPerS(endpoint);
    int senders = Math.min(places.count(), options.coldSenders(perS));
    return places.placeOf(endpoint.getId()) < senders ? options.coldRate(perS) / senders : 0;
  }

  private void refill(EndpointRecord endpoint, Cold cold, long nowMs) {
    double added = partPerS(endpoint) * Math.max(0, nowMs - cold.refilledMs) / MS_PER_S;
    cold.tokens = Math.min(1, cold.tokens + added);
    cold.refilledMs = Math.max(cold.refilledMs, nowMs);
  }

  /** Returns whether this node may send one more request to the endpoint now. */
  boolean permits(EndpointRecord endpoint, long nowMs) {
    return permittedInMs(endpoint, nowMs) == 0;
  }

  /** Returns the time until this node may send to the endpoint, if nothing else happens. */
  long permittedInMs(EndpointRecord endpoint, long nowMs) {
    Cold cold = coldOf(endpoint, nowMs);
    if (cold == null) {
      return 0;
    }
    long warmInMs = cold.untilMs - nowMs;
    double partPerS = partPerS(endpoint);
    if (partPerS <= 0) {
      return Math.min(warmInMs, OTHER_NODE_MS);
    }
    refill(endpoint, cold, nowMs);
    return cold.tokens >= 1
        ? 0
        : Math.min(warmInMs, 1 + (long) ((1 - cold.tokens) / partPerS * MS_PER_S));
  }

  /** Counts a request that is sent to the endpoint. */
  void onSent(EndpointRecord endpoint, long nowMs) {
    Cold cold = coldOf(endpoint, nowMs);
    if (cold != null) {
      refill(endpoint, cold, nowMs);
      cold.tokens--;
    }
  }

  /** Returns whether some nodes must leave the endpoint to others. */
  boolean isLeftToFew(EndpointRecord endpoint, long nowMs) {
    return coldOf(endpoint, nowMs) != null
        && options.coldSenders(coldPerS(endpoint)) < places.count();
  }

  /** Returns the cold endpoints of a service that this node has a part of. */
  List<String> parts(String service, Iterable<EndpointRecord> endpoints, long nowMs) {
    if (coldById.isEmpty()) {
      return List.of();
    }
    if (nowMs >= nextPartsMs) {
      nextPartsMs = nowMs + PARTS_INTERVAL_MS;
      Map<String, List<String>> found = new HashMap<>();
      for (EndpointRecord endpoint : endpoints) {
        if (isLeftToFew(endpoint, nowMs) && partPerS(endpoint) > 0) {
          found
              .computeIfAbsent(endpoint.getService(), s -> new ArrayList<>())
              .add(endpoint.getId());
        }
      }
      partsByService = found;
    }
    return partsByService.getOrDefault(service, List.of());
  }

  /** Returns the number of cold endpoints. */
  int count(long nowMs) {
    return (int) coldById.values().stream().filter(c -> c.isCold(nowMs)).count();
  }
}
