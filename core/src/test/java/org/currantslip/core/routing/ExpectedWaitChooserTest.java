package org.currantslip.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.schema.EndpointRecord;
import org.junit.jupiter.api.Test;

final class ExpectedWaitChooserTest {
  private static final CallResult SILENT = new CallResult(false, true, -1, 1000);
  private static final CallResult OK = new CallResult(true, false, 10, 100);

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final ExpectedWaitChooser chooser = ExpectedWaitChooser.create(clock, "fd1", 3);

  private static EndpointRecord endpoint(int i, boolean leaving) {
    return EndpointRecord.newBuilder()
        .setId("r" + i)
        .setModel("m")
        .setVersion("v")
        .setFailureDomain("fd1")
        .setSlots(4)
        .setLeaving(leaving)
        .build();
  }

  private void setEndpoints(int count) {
    chooser.onEndpoints(IntStream.range(0, count).mapToObj(i -> endpoint(i, false)).toList());
  }

  private static EndpointQuery query(long prefix, Set<String> excluded) {
    return new EndpointQuery("m", "v", "", prefix, 400, excluded);
  }

  private String choose(long prefix) {
    return chooser.choose(query(prefix, Set.of())).orElseThrow().getId();
  }

  @Test
  void choosesNothingForUnknownVersion() {
    setEndpoints(3);
    assertThat(chooser.choose(new EndpointQuery("m", "v9", "", 0, 1, Set.of()))).isEmpty();
  }

  @Test
  void leavingAndExcludedEndpointsAreNotChosen() {
    chooser.onEndpoints(List.of(endpoint(0, false), endpoint(1, true), endpoint(2, false)));
    for (int i = 0; i < 100; i++) {
      assertThat(chooser.choose(query(i, Set.of("r2"))).orElseThrow().getId()).isEqualTo("r0");
    }
  }

  @Test
  void samePrefixMapsToSameEndpointWhileItIsIdle() {
    setEndpoints(50);
    String first = choose(99);
    for (int i = 0; i < 20; i++) {
      assertThat(choose(99)).isEqualTo(first);
    }
  }

  @Test
  void loadSpreadsWhenPrefixOwnerIsBusy() {
    setEndpoints(50);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 200; i++) {
      String id = choose(99);
      chooser.onDispatched(id, 100);
      counts.merge(id, 1, Integer::sum);
    }
    assertThat(counts.size()).isAtLeast(30);
  }

  @Test
  void silentEndpointIsEjectedUntilProbeSucceeds() {
    setEndpoints(2);
    chooser.onDispatched("r0", 1);
    chooser.onFinished("r0", SILENT);
    for (int i = 1; i < 50; i++) {
      assertThat(choose(i)).isEqualTo("r1");
    }
    clock.advance(2_000);
    chooser.onDispatched("r0", 1);
    for (int i = 1; i < 50; i++) {
      assertThat(choose(i)).isEqualTo("r1");
    }
    chooser.onFinished("r0", OK);
    assertThat(IntStream.range(1, 50).mapToObj(this::choose).toList()).contains("r0");
  }
}
