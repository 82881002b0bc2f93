package org.currantslip.core.mirror;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.currantslip.core.mirror.MirrorFleet.Node;
import org.currantslip.core.port.KindObject;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that each of many large configurations in succession is in force in time on links of all
 * rates, also while a watcher is silent.
 */
@Execution(ExecutionMode.SAME_THREAD)
final class LargeConfigurationSeriesTest {
  /** Time within which a change must be in force in the platform's larger deployments. */
  private static final long IN_FORCE_MS = 3_000;

  private static final int ROUTES = 1_450;
  private static final int FURTHER_CHANGES = 8;
  private static final long CHANGE_INTERVAL_MS = 500;
  private static final String CONFIGURATION = "main";
  private static final String ROUTE =
      "{\"name\":\"r-%08x\",\"host\":\"host.example\",\"path_prefix\":\"/%08x/\","
          + "\"kind\":\"streaming\",\"timeout_ms\":%d,\"objective_ms\":2015,\"priority\":1,"
          + "\"split\":[{\"service\":\"s-%08x\",\"weight\":90}],\"attempts\":3,"
          + "\"anonymous\":false,\"sticky\":true,\"resumable\":true}";

  /** 140, 7 and 18 Mbit/s. */
  private static final List<Long> MIXED_BYTES_PER_MS = List.of(17_500L, 875L, 875L, 2_190L);

  private static final long SLOWEST_BYTES_PER_MS = 875;

  private final MirrorFleet fleet = new MirrorFleet();
  private final Map<Long, Long> ackedMs = new HashMap<>();
  private final ListMultimap<String, Arrival> arrivals = ArrayListMultimap.create();

  private record Arrival(long revision, long atMs) {}

  /**
   * Configurations were sent whole to each follower and begun again by those that had waited too
   * long, so that nodes fell seconds behind; later, one silent watcher held up all its followers.
   */
  @ParameterizedTest
  @CsvSource({
    "6, 4, false, 0",
    "6, 4, false, 1",
    "64, 4, false, 0",
    "64, 4, false, 1",
    "64, 4, true, 1",
    "420, 17, false, 1",
    "420, 17, true, 1",
    "420, 4, true, 1"
  })
  void eachConfigurationOfSeriesIsInForceInTime(
      int count, int domains, boolean slowest, int silentWatchers) {
    fleet.store.put(CONFIGURATION);
    fleet.start(count, domains);
    limitLinks(slowest);
    playSeries(silentWatchers, fleet::advance);
    assertInForceInTime();
  }

  /** Some nodes have no source left; they learn of the changes from their neighbours. */
  @ParameterizedTest
  @CsvSource({"64, 4", "420, 17"})
  void heartbeatsStandInForTwoSilentWatchers(int count, int domains) {
    fleet.store.put(CONFIGURATION);
    fleet.start(count, domains);
    limitLinks(true);
    playSeries(2, fleet::advanceWithHeartbeats);
    assertInForceInTime();
  }

  private void playSeries(int silentWatchers, LongConsumer advance) {
    fleet.nodes.forEach((name, node) -> recordArrivals(name, node.mirror));
    List<Node> silent = fleet.watchers().limit(silentWatchers).toList();
    for (int change = 0; change <= FURTHER_CHANGES; change++) {
      long revision = fleet.store.put(CONFIGURATION, configuration(change));
      ackedMs.put(revision, fleet.events.clock().nowMs());
      silent.stream().filter(node -> !node.isFrozen()).forEach(Node::freeze);
      advance.accept(CHANGE_INTERVAL_MS);
    }
    advance.accept(2 * IN_FORCE_MS);
  }

  private void assertInForceInTime() {
    List<Long> delays = delays();
    assertWithMessage("longest delay").that(delays.get(delays.size() - 1)).isAtMost(IN_FORCE_MS);
  }

  private void limitLinks(boolean slowest) {
    int index = 0;
    for (Node node : fleet.nodes.values()) {
      long rate =
          slowest
              ? SLOWEST_BYTES_PER_MS
              : MIXED_BYTES_PER_MS.get(index++ % MIXED_BYTES_PER_MS.size());
      node.link.setBytesPerMs(rate);
      fleet.network.setLinkBytesPerMs(node.name(), rate);
    }
  }

  private void recordArrivals(String name, KindMirror mirror) {
    mirror.setChangeListener(
        () -> {
          KindObject configuration = mirror.objects().get(CONFIGURATION);
          if (configuration != null) {
            arrivals.put(name, new Arrival(configuration.version(), fleet.events.clock().nowMs()));
          }
        });
  }

  /** Returns the sorted times from the ack of each revision until a node had it or a later one. */
  private List<Long> delays() {
    List<Long> delays = new ArrayList<>();
    fleet.nodes.values().stream()
        .filter(node -> !node.isFrozen())
        .forEach(
            node ->
                ackedMs.forEach(
                    (revision, acked) ->
                        delays.add(
                            arrivals.get(node.name()).stream()
                                .filter(a -> a.revision() >= revision)
                                .mapToLong(a -> a.atMs() - acked)
                                .min()
                                .orElse(Long.MAX_VALUE))));
    delays.sort(null);
    return delays;
  }

  private static ByteString configuration(int change) {
    SplittableRandom random = new SplittableRandom(57);
    String routes =
        IntStream.range(0, ROUTES)
            .mapToObj(
                i ->
                    ROUTE.formatted(
                        random.nextInt(),
                        random.nextInt(),
                        i == change ? 7_000 : 8_000,
                        random.nextInt()))
            .collect(Collectors.joining(","));
    return ByteString.copyFromUtf8("{\"version\":%d,\"routes\":[%s]}".formatted(change, routes));
  }
}
