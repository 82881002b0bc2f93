package org.currantslip.core.route;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multimaps;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One accepted version of the operators' routes; immutable. */
public final class RouteTable {
  private static final RouteTable NONE = of(0, List.of(), Map.of(), CallerLimits.defaults());

  private final long version;
  private final ImmutableListMultimap<String, Route> byHost;
  private final ImmutableMap<String, Account> accounts;
  private final CallerLimits limits;

  private RouteTable(
      long version,
      ImmutableListMultimap<String, Route> byHost,
      ImmutableMap<String, Account> accounts,
      CallerLimits limits) {
    this.version = version;
    this.byHost = byHost;
    this.accounts = accounts;
    this.limits = limits;
  }

  /**
   * Returns a table.
   *
   * @param accounts accounts by their keys
   */
  public static RouteTable of(
      long version, List<Route> routes, Map<String, Account> accounts, CallerLimits limits) {
    List<Route> longestFirst =
        routes.stream()
            .sorted(Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed())
            .toList();
    return new RouteTable(
        version, Multimaps.index(longestFirst, Route::host), ImmutableMap.copyOf(accounts), limits);
  }

  /** Returns the table before any configuration is known. */
  public static RouteTable none() {
    return NONE;
  }

  /** Returns the version of the configuration, zero when none is known. */
  public long version() {
    return version;
  }

  /** Returns the route with the longest prefix of this path on this host. */
  public Optional<Route> route(String host, String path) {
    return byHost.get(host).stream().filter(r -> path.startsWith(r.pathPrefix())).findFirst();
  }

  /** Returns the account that holds a key. */
  public Optional<Account> account(String key) {
    return Optional.ofNullable(accounts.get(key));
  }

  /** Returns how many routes there are. */
  public int size() {
    return byHost.size();
  }

  /** Returns the limits on callers. */
  public CallerLimits limits() {
    return limits;
  }
}
