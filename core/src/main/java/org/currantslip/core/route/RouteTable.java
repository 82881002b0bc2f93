package org.currantslip.core.route;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An accepted version of the route configuration; immutable. */
public final class RouteTable {
  private static final RouteTable NONE = of(0, List.of(), Map.of(), CallerLimits.defaults());

  private final long version;
  private final ImmutableListMultimap<String, Route> routesByHost;
  private final ImmutableMap<String, Account> accountsByKey;
  private final CallerLimits limits;
  private final ImmutableMap<String, ServiceTerms> servicesByName;

  private RouteTable(
      long version,
      ImmutableListMultimap<String, Route> routesByHost,
      ImmutableMap<String, Account> accountsByKey,
      CallerLimits limits,
      ImmutableMap<String, ServiceTerms> servicesByName) {
    this.version = version;
    this.routesByHost = routesByHost;
    this.accountsByKey = accountsByKey;
    this.limits = limits;
    this.servicesByName = servicesByName;
  }

  /** Creates a route table that says nothing of its services. */
  public static RouteTable of(
      long version, List<Route> routes, Map<String, Account> accountsByKey, CallerLimits limits) {
    return of(version, routes, accountsByKey, limits, Map.of());
  }

  /**
   * Creates a route table.
   *
   * @param accountsByKey accounts by API key
   */
  public static RouteTable of(
      long version,
      List<Route> routes,
      Map<String, Account> accountsByKey,
      CallerLimits limits,
      Map<String, ServiceTerms> servicesByName) {
    List<Route> longestFirst =
        routes.stream()
            .sorted(Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed())
            .toList();
    return new RouteTable(
        version,
        Multimaps.index(longestFirst, Route::host),
        ImmutableMap.copyOf(accountsByKey),
        limits,
        ImmutableMap.copyOf(servicesByName));
  }

  /** Returns the empty table that applies until a configuration is known. */
  public static RouteTable none() {
    return NONE;
  }

  /** Returns the configuration version, or zero if none is known. */
  public long version() {
    return version;
  }

  /** Returns the route with the longest matching path prefix for this host. */
  public Optional<Route> route(String host, String path) {
    return routesByHost.get(host).stream().filter(r -> path.startsWith(r.pathPrefix())).findFirst();
  }

  /** Returns the account of an API key. */
  public Optional<Account> account(String key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  /** Returns the terms of a service; those of an unknown service name nothing. */
  public ServiceTerms service(String name) {
    return servicesByName.getOrDefault(name, ServiceTerms.unknown(name));
  }

  /** Returns the routes of a host, the one with the longest path prefix first. */
  public List<Route> routesOf(String host) {
    return routesByHost.get(host);
  }

  /** Returns the homes of a host: those of all its routes together, or all if one has none. */
  public Homes homesOf(String host) {
    List<Route> routes = routesOf(host);
    boolean restricted =
        !routes.isEmpty() && routes.stream().noneMatch(route -> route.homes().isEmpty());
    return restricted
        ? Homes.of(
            routes.stream()
                .flatMap(route -> route.homes().stream())
                .collect(ImmutableSet.toImmutableSet()))
        : Homes.all();
  }

  /** Returns the number of routes. */
  public int size() {
    return routesByHost.size();
  }

  /** Returns the limits on caller requests. */
  public CallerLimits limits() {
    return limits;
  }
}
