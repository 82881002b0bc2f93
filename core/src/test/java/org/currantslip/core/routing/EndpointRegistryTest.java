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

  private static EndpointRecord entry(String id, long startedMs, boolean leaving) {
    return EndpointRecord.newBuilder()
        .setId(id)
        .setStartedMs(startedMs)
        .setLeaving(leaving)
        .build();
  }

  private final List<String> leaving = new ArrayList<>();
  private final EndpointRegistry states =
      EndpointRegistry.create(
          clock,
          2_400,
          endpoints -> {
            leaving.clear();
            endpoints.stream()
                .filter(EndpointRecord::getLeaving)
                .forEach(e -> leaving.add(e.getId()));
          });

  @Test
  void restoredStoreDoesNotEmptyThePool() {
    setEntries("a", "b");
    registry.onStoreRestored();
    setEntries();
    assertThat(published).containsExactly("a", "b");
    clock.advance(1_000);
    setEntries("a");
    clock.advance(1_000);
    registry.tick();
    assertThat(published).containsExactly("a");
  }

  @Test
  void endpointThatAnnouncedItsStopStaysLeavingInRestoredStore() {
    states.onEntries(List.of(entry("a", 1, true), entry("b", 1, true)));
    states.onStoreRestored();
    states.onEntries(List.of(entry("a", 1, false), entry("b", 2, false)));
    assertThat(leaving).containsExactly("a");
  }

  @Test
  void removedEndpointReturnsFromRestoredStoreOnlyIfItsEntryLasts() {
    setEntries("a", "b");
    setEntries("b");
    registry.onStoreRestored();
    setEntries("a", "b");
    assertThat(published).containsExactly("b");
    clock.advance(5_000);
    registry.tick();
    assertThat(published).containsExactly("a", "b");
  }

  @Test
  void shortOutageStartsNoGracePeriod() {
    setEntries("a", "b");
    registry.onStoreRegained(2_000);
    setEntries("b");
    assertThat(published).containsExactly("b");
  }
}
