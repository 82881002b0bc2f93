package org.currantslip.core.route;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RouteTableTest {
  private static Route route(String name, String host, String prefix, WeightedService... services) {
    return new Route(
        name,
        host,
        prefix,
        RouteKind.SAFE,
        List.of(services),
        2,
        1_000,
        300,
        0,
        0,
        false,
        false,
        List.of());
  }

  private static final WeightedService SERVICE_ONE = new WeightedService("one", 1);

  private static RouteTable table(long version) {
    return RouteTable.of(
        version,
        List.of(
            route("short", "h", "/a/", SERVICE_ONE),
            route("long", "h", "/a/b/", SERVICE_ONE),
            route("other", "g", "/a/", SERVICE_ONE)),
        Map.of("key", new Account("account", OptionalInt.empty())),
        CallerLimits.defaults());
  }

  @ParameterizedTest
  @CsvSource({
    "h, /a/x, short",
    "h, /a/b/x, long",
    "h, /a/b, short",
    "g, /a/b/x, other",
    "h, /b/, ",
    "f, /a/, "
  })
  void longestPrefixOfHostWins(String host, String path, String name) {
    assertThat(table(1).route(host, path).map(Route::name).orElse(null)).isEqualTo(name);
  }

  @Test
  void splitsByWeightAndIsStablePerKey() {
    Route split =
        route("r", "h", "/", new WeightedService("one", 90), new WeightedService("two", 10));
    long secondServiceCount =
        IntStream.range(0, 10_000).filter(i -> split.serviceFor("k" + i).equals("two")).count();
    assertThat((int) secondServiceCount).isIn(Range.closed(800, 1_200));
    assertThat(split.serviceFor("k1")).isEqualTo(split.serviceFor("k1"));
  }

  @Test
  void holderRejectsTablesThatAreNotNewer() {
    RouteHolder holder = RouteHolder.create();
    assertThat(holder.replaceIfNewer(table(7))).isTrue();
    assertThat(holder.replaceIfNewer(table(5))).isFalse();
    assertThat(holder.replaceIfNewer(table(7))).isFalse();
    assertThat(holder.current().version()).isEqualTo(7);
  }
}
