package org.currantslip.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.currantslip.core.common.DrivenClock;
import org.currantslip.schema.EndpointRecord;
import org.junit.jupiter.api.Test;

final class EndpointRegistryTest {
  private final DrivenClock clock = DrivenClock.startingAt(1_000_000);
  private final List<String> known = new ArrayList<>();
  private final EndpointRegistry registry =
      EndpointRegistry.create(
          clock,
          2_400,
          endpoints -> {
            known.clear();
            endpoints.forEach(e -> known.add(e.getId()));
          });

  private void entries(String... ids) {
    registry.onEntries(
        Stream.of(ids).map(id -> EndpointRecord.newBuilder().setId(id).build()).toList());
  }

  @Test
  void entryThatIsRemovedEndsTheUseAtOnce() {
    entries("a", "b");
    entries("b");
    assertThat(known).containsExactly("b");
  }

  @Test
  void entriesThatLapsedWithTheStoreAreKeptUntilTheyCanBeBack() {
    entries("a", "b");
    clock.advance(5_000);
    registry.onStoreRegained(5_000);
    entries("b");
    assertThat(known).containsExactly("a", "b");
    clock.advance(1_000);
    entries("a", "b");
    clock.advance(1_000);
    registry.tick();
    assertThat(known).containsExactly("a", "b");
  }

  @Test
  void lapsedEntriesThatDoNotComeBackAreDropped() {
    entries("a", "b");
    registry.onStoreRegained(5_000);
    entries("b");
    clock.advance(1_800);
    registry.tick();
    assertThat(known).containsExactly("b");
  }

  @Test
  void shortOutageCanLetNoEntryLapse() {
    entries("a", "b");
    registry.onStoreRegained(2_000);
    entries("b");
    assertThat(known).containsExactly("b");
  }
}
