package org.currantslip.core.directory;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.currantslip.core.membership.NodeReport;
import org.currantslip.core.route.CallerLimits;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteKind;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.route.WeightedService;
import org.currantslip.schema.NodeCapacity;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.junit.jupiter.api.Test;

/** Tests which nodes callers are directed to. */
final class NodeDirectoryTest {
  private static final int DOMAINS = 4;
  private static final LookUp ANYWHERE = new LookUp("h", "", "");
  private static final long NOW_MS = 5_000_000;

  private static NodeDirectory.Entry entry(int index, NodeReport report) {
    return new NodeDirectory.Entry(
        NodeRecord.newBuilder()
            .setId(NodeId.newBuilder().setName("n%03d".formatted(index)))
            .setCallerAddress("n%03d".formatted(index))
            .setFailureDomain("d" + index % DOMAINS)
            .setRegion("r" + index % 2)
            .build(),
        report);
  }

  private static NodeReport cores(double cores) {
    return new NodeReport(
        NodeCapacity.newBuilder()
            .setMilliCores((int) (1_000 * cores))
            .setMemoryMb(682)
            .setMaxDescriptors(10_250)
            .setLinkMbps(200)
            .build(),
        false);
  }

  private static List<NodeDirectory.Entry> entries(int count, IntFunction<NodeReport> reports) {
    return IntStream.range(0, count).mapToObj(i -> entry(i, reports.apply(i))).toList();
  }

  private static NodeDirectory directory(List<NodeDirectory.Entry> entries) {
    return NodeDirectory.of("n000", entries, entries.size(), RouteTable.none(), NOW_MS);
  }

  private static List<String> named(NodeDirectory directory, LookUp lookUp) {
    return directory.answer(lookUp).addresses();
  }

  private static List<String> names(List<NodeDirectory.Entry> entries) {
    return entries.stream().map(e -> e.node().getCallerAddress()).toList();
  }

  /** Guards against other answers in deployments that name no limits. */
  @Test
  void allNodesAreNamedWithoutLimits() {
    var entries = entries(90, i -> NodeReport.none());
    assertThat(named(directory(entries), new LookUp("h", "r0", "d0"))).isEqualTo(names(entries));
  }

  /** Guards against nodes of one size that are left out. */
  @Test
  void allNodesOfOneSizeAreNamed() {
    var entries = entries(60, i -> cores(1));
    assertThat(named(directory(entries), ANYWHERE)).isEqualTo(names(entries));
  }

  /** Guards against small nodes that get as many callers as large ones, and long answers. */
  @Test
  void nodesArePickedInProportionToWhatTheyCarry() {
    for (int count : List.of(90, 420)) {
      var entries = entries(count, i -> cores(i % 3 == 0 ? 0.12 : i % 3 == 1 ? 0.6 : 1.2));
      Map<Integer, Double> picked = new HashMap<>();
      for (int answering = 0; answering < 30; answering++) {
        for (int period = 0; period < 20; period++) {
          var directory =
              NodeDirectory.of("n" + answering, entries, 0, RouteTable.none(), period * 10_000L);
          List<String> addresses = named(directory, ANYWHERE);
          assertThat(addresses.size()).isAtMost(64);
          addresses.forEach(
              a ->
                  picked.merge(
                      Integer.parseInt(a.substring(1)) % 3, 1.0 / addresses.size(), Double::sum));
        }
      }
      double largest = picked.getOrDefault(2, 0.0);
      assertThat(picked.getOrDefault(0, 0.0) / largest).isWithin(0.02).of(0.1);
      assertThat(picked.getOrDefault(1, 0.0) / largest).isWithin(0.05).of(0.5);
    }
  }

  /** Guards against answers that change with every request in progress. */
  @Test
  void answersAreSteadyWithinPeriod() {
    var before = entries(90, i -> cores(0.1 + 0.01 * i));
    var after =
        entries(
            90,
            i -> {
              NodeReport report = cores(0.1 + 0.01 * i);
              return new NodeReport(
                  report.capacity().toBuilder().setInFlight(i % 4).setLagMs(i % 50).build(), false);
            });
    assertThat(named(directory(after), ANYWHERE)).isEqualTo(named(directory(before), ANYWHERE));
  }

  /** Guards against callers at nodes that lag behind. */
  @Test
  void laggingNodeIsNamedLessOften() {
    NodeReport lagging =
        new NodeReport(cores(1).capacity().toBuilder().setLagMs(600).build(), false);
    var entries = entries(20, i -> i == 7 ? lagging : cores(1));
    long count =
        IntStream.range(0, 400)
            .mapToObj(i -> NodeDirectory.of("n" + i, entries, 0, RouteTable.none(), NOW_MS))
            .filter(d -> named(d, ANYWHERE).contains("n007"))
            .count();
    assertThat(count).isGreaterThan(60L);
    assertThat(count).isLessThan(140L);
  }

  /** Guards against callers in one failure domain that overload its few or weak nodes. */
  @Test
  void callersDomainComesFirstOnlyWhileItSuffices() {
    LookUp fromD1 = new LookUp("h", "r1", "d1");
    assertThat(named(directory(entries(40, i -> cores(1))), fromD1)).hasSize(10);
    var weakD1 = entries(40, i -> cores(i % DOMAINS == 1 ? 0.3 : 1));
    assertThat(named(directory(weakD1), fromD1).size()).isGreaterThan(10);
    assertThat(named(directory(entries(8, i -> cores(1))), fromD1)).hasSize(8);
  }

  /** Guards against nodes without a path to endpoints in answers, and against empty answers. */
  @Test
  void nodesWithoutEndpointsAreLeftOutWhileOthersServe() {
    NodeReport cut = new NodeReport(NodeCapacity.getDefaultInstance(), true);
    var some = entries(8, i -> i < 4 ? cut : NodeReport.none());
    assertThat(named(directory(some), ANYWHERE)).containsExactly("n004", "n005", "n006", "n007");
    assertThat(named(directory(entries(8, i -> cut)), ANYWHERE)).hasSize(8);
  }

  private static Route route(String name, ImmutableSet<String> homes) {
    return new Route(
        name,
        "home",
        "/" + name + "/",
        RouteKind.SAFE,
        List.of(new WeightedService("s", 1)),
        1,
        1_000,
        1_000,
        1_000,
        0,
        true,
        false,
        List.of(),
        homes);
  }

  private static NodeDirectory withRoutes(Route... routes) {
    var entries = entries(8, i -> NodeReport.none());
    RouteTable table = RouteTable.of(1, List.of(routes), Map.of(), CallerLimits.defaults());
    return NodeDirectory.of("n000", entries, entries.size(), table, NOW_MS);
  }

  /** Guards against bodies that callers send to nodes outside of the homes of a host. */
  @Test
  void hostWithHomesNamesNodesThereOrInCallersRegion() {
    Route r0 = route("a", ImmutableSet.of("r0"));
    LookUp elsewhere = new LookUp("home", "r9", "");
    assertThat(named(withRoutes(r0), elsewhere))
        .containsExactly("n000", "n002", "n004", "n006")
        .inOrder();
    assertThat(named(withRoutes(r0), new LookUp("home", "r1", ""))).hasSize(8);
    assertThat(named(withRoutes(r0), new LookUp("other", "r9", ""))).hasSize(8);
    assertThat(named(withRoutes(r0, route("b", ImmutableSet.of())), elsewhere)).hasSize(8);
    assertThat(named(withRoutes(route("c", ImmutableSet.of("r7"))), elsewhere)).hasSize(8);
  }

  /** Guards against failed look-ups whose cause is not told. */
  @Test
  void emptyAnswersTellTheirCause() {
    List<LookUpResult> results =
        Stream.of(
                NodeDirectory.empty(),
                NodeDirectory.of("n000", List.of(), 3, RouteTable.none(), NOW_MS),
                directory(entries(1, i -> NodeReport.none())))
            .map(d -> d.answer(ANYWHERE).result())
            .toList();
    assertThat(results)
        .containsExactly(
            LookUpResult.FLEET_UNKNOWN, LookUpResult.NONE_SERVING, LookUpResult.ANSWERED)
        .inOrder();
  }
}
