package org.currantslip.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.schema.EndpointRecord;
import org.junit.jupiter.api.Test;

final class EndpointRegistryTest {
  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final List<String> published = new ArrayList<>();
  private final EndpointRegistry registry =
      EndpointRegistry.create(
          clock,
          2_400,
          endpoints -> {
            published.clear();
            endpoints.forEach(e -> published.add(e.getId()));
          });

  private void setEntries(String... ids) {
    registry.onEntries(
        Stream.of(ids).map(id -> EndpointRecord.newBuilder().setId(id).build()).toList());
  }

  @Test
  void removedEntryDropsEndpointImmediately() {
    setEntries("a", "b");
    setEntries("b");
    assertThat(published).containsExactly("b");
  }

  @Test
  void entriesExpiredDuringOutageAreKeptForGracePeriod() {
    setEntries("a", "b");
    clock.advance(5_000);
    registry.onStoreRegained(5_000);
    setEntries("b");
    assertThat(published).containsExactly("a", "b");
    clock.advance(1_000);
    setEntries("a", "b");
    clock.advance(1_000);
    registry.tick();
    assertThat(published).containsExactly("a", "b");
  }

  @Test
  void expiredEntriesAreDroppedAfterGracePeriod() {
    setEntries("a", "b");
    registry.onStoreRegained(5_000);
    setEntries("b");
    clock.advance(1_800);
    registry.tick();
    assertThat(published).containsExactly("b");
  }

  @Test
  void shortOutageStartsNoGracePeriod() {
    setEntries("a", "b");
    registry.onStoreRegained(2_000);
    setEntries("b");
    assertThat(published).containsExactly("b");
  }
}
