package org.currantslip.core.session;

import static com.google.common.truth.Truth.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HomeTableTest {
  private static final int NODES = 6;
  private static final int SESSIONS = 50;

  private final FakeEvents events = FakeEvents.on(ManualClock.startingAt(1_000));
  private final FakePeerNetwork network = FakePeerNetwork.create(events);
  private final Map<String, FakeMembership> memberships = new LinkedHashMap<>();
  private final Map<String, HomeNodeBindings> tables = new LinkedHashMap<>();

  @BeforeEach
  void start() {
    for (int i = 1; i <= NODES; i++) {
      addNode("n" + i);
    }
  }

  private void addNode(String name) {
    NodeRecord record = FakeMembership.node(name, 1, "fd-" + name);
    FakeMembership membership = FakeMembership.of(record);
    memberships.values().forEach(m -> m.add(record));
    memberships.values().forEach(m -> membership.add(m.self()));
    memberships.put(name, membership);
    HomeNodeBindings[] table = new HomeNodeBindings[1];
    table[0] =
        HomeNodeBindings.create(
            membership,
            network.join(
                name,
                (from, frame) ->
                    CompletableFuture.completedFuture(
                        PeerFrame.newBuilder()
                            .setSessionAnswer(table[0].onQuery(frame.getSessionQuery()))
                            .build())));
    tables.put(name, table[0]);
  }

  private void removeNode(String name) {
    network.remove(name);
    tables.remove(name);
    memberships.remove(name);
    memberships.values().forEach(m -> m.suspect(name));
  }

  private String keep(String node, int session, String proposal) {
    HomeNodeBindings bindings = Objects.requireNonNull(tables.get(node));
    CompletableFuture<String> kept =
        bindings.bind(new SessionBinding("crew", "session-" + session, "report", proposal));
    events.advance(200);
    return kept.join();
  }

  /**
   * Binds all sessions to v1, applies a change to the membership and returns how many sessions then
   * move to v2.
   */
  private int movedSessions(Runnable membershipChange) {
    List<String> names = List.copyOf(tables.keySet());
    for (int i = 0; i < SESSIONS; i++) {
      assertThat(keep(names.get(i % names.size()), i, "v1")).isEqualTo("v1");
    }
    membershipChange.run();
    List<String> remaining = List.copyOf(tables.keySet());
    AtomicInteger movedSessions = new AtomicInteger();
    for (int i = 0; i < SESSIONS; i++) {
      if (!keep(remaining.get((i + 1) % remaining.size()), i, "v2").equals("v1")) {
        movedSessions.incrementAndGet();
      }
    }
    return movedSessions.get();
  }

  @Test
  void sessionsKeepTheirVersionOnEveryNode() {
    assertThat(movedSessions(() -> {})).isEqualTo(0);
  }

  @Test
  void sessionsKeepTheirVersionWhenNodeIsLost() {
    assertThat(movedSessions(() -> removeNode("n3"))).isEqualTo(0);
  }

  @Test
  void sessionsKeepTheirVersionWhenNodeJoins() {
    assertThat(movedSessions(() -> addNode("n7"))).isEqualTo(0);
  }

  @Test
  void proposalIsUsedWhenNoHomeNodeIsReachable() {
    List.of("n2", "n3", "n4", "n5", "n6").forEach(n -> network.setCut("n1", n, true));
    assertThat(keep("n1", 1, "v1")).isEqualTo("v1");
  }
}
