package org.currantslip.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.RolloutState;
import org.currantslip.schema.RolloutVerdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

final class RolloutControllerTest {
  private static final String MODEL = "quote";
  private static final String NEW = "v2";
  private static final int MIN_REQUESTS = 50;
  private static final long SETTLE_MS = 20_000;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final FakeEvents events = FakeEvents.on(clock);
  private final FakeObjectStore store = FakeObjectStore.on(events);
  private final Map<String, Node> nodes = new TreeMap<>();
  private ConfigView config = new ConfigView(1, rules(List.of()));

  /** A controller with its policy; the test supplies the evidence. */
  private final class Node implements ConfigSource {
    final FakeObjectStore.Link link = store.newLink();
    final EvidenceVersionPolicy versions;
    final RolloutController controller;
    boolean frozen;

    Node(NodeRecord record, FakeMembership membership) {
      versions = EvidenceVersionPolicy.create(record.getId(), clock, RolloutOptions.defaults());
      controller =
          RolloutController.create(record.getId(), link, membership, this, versions, clock);
    }

    @Override
    public ConfigView current() {
      return config;
    }

    @Override
    public boolean isFresh() {
      return true;
    }
  }

  private static Rule.Origin line(int n, String text) {
    return new Rule.Origin(n, text, "operator");
  }

  private static RuleSet rules(List<Rule> extra) {
    List<Rule> rules = new ArrayList<>();
    rules.add(new Rule.AllowModel(line(1, "allow"), "*", "*", MODEL, "*"));
    rules.add(new Rule.Serve(line(2, "serve"), MODEL, "v1"));
    rules.add(new Rule.RolloutStage(line(3, "s1"), MODEL, NEW, 1, 0.05, MIN_REQUESTS));
    rules.add(new Rule.RolloutStage(line(4, "s2"), MODEL, NEW, 2, 0.5, MIN_REQUESTS));
    rules.add(new Rule.RolloutStage(line(5, "s3"), MODEL, NEW, 3, 1.0, MIN_REQUESTS));
    rules.addAll(extra);
    return RuleSet.of(rules);
  }

  private void start(int count) {
    List<NodeRecord> records = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      records.add(FakeMembership.node("n" + i, 1, "fd" + i));
    }
    for (NodeRecord record : records) {
      FakeMembership membership = FakeMembership.of(record);
      records.forEach(membership::add);
      nodes.put(record.getId().getName(), new Node(record, membership));
    }
  }

  private void apply(Rule... extra) {
    config = new ConfigView(config.version() + 1, rules(List.of(extra)));
  }

  private void run(long ms) {
    for (long t = 0; t < ms; t += 10) {
      events.advance(10);
      nodes.values().stream().filter(n -> !n.frozen).forEach(n -> n.controller.tick());
    }
  }

  private void rate(int good, int bad) {
    for (Node n : nodes.values()) {
      n.versions.onConfig(config);
      for (int i = 0; i < good + bad; i++) {
        n.versions.onDispatched(MODEL, NEW);
        n.versions.onFinished(MODEL, NEW, false);
        n.versions.onRated(MODEL, NEW, i < good);
      }
    }
  }

  private RolloutState stored() {
    try {
      return RolloutState.parseFrom(
          store.listDirectly("rollout/" + MODEL + "/" + NEW).get(0).value());
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(e);
    }
  }

  private List<String> holders() {
    return nodes.entrySet().stream()
        .filter(e -> e.getValue().controller.isHolder() && !e.getValue().frozen)
        .map(Map.Entry::getKey)
        .toList();
  }

  private Node holder() {
    return Objects.requireNonNull(nodes.get(holders().get(0)));
  }

  @Test
  void oneNodeHoldsTheLeaseAndStoresTheFirstStage() {
    start(5);
    run(SETTLE_MS);
    assertThat(holders()).hasSize(1);
    assertThat(stored().getStage()).isEqualTo(1);
    assertThat(stored().getVerdict()).isEqualTo(RolloutVerdict.RUNNING);
  }

  @Test
  void stagesAdvanceOnlyOnEvidence() {
    start(3);
    run(SETTLE_MS);
    run(SETTLE_MS);
    assertThat(stored().getStage()).isEqualTo(1);
    for (int stage = 2; stage <= 3; stage++) {
      rate(MIN_REQUESTS, 0);
      run(SETTLE_MS);
      assertThat(stored().getStage()).isEqualTo(stage);
    }
    rate(MIN_REQUESTS, 0);
    run(SETTLE_MS);
    assertThat(stored().getVerdict()).isEqualTo(RolloutVerdict.COMPLETE);
  }

  @Test
  void stopIsStoredWithItsReasonAndResumesOnlyByNewResumeRule() {
    start(3);
    run(SETTLE_MS);
    rate(0, MIN_REQUESTS);
    run(SETTLE_MS);
    assertThat(stored().getVerdict()).isEqualTo(RolloutVerdict.STOPPED);
    assertThat(stored().getReason()).contains("rated answers bad");
    apply();
    run(SETTLE_MS);
    assertThat(stored().getVerdict()).isEqualTo(RolloutVerdict.STOPPED);
    apply(new Rule.ResumeRollout(line(6, "resume 1"), MODEL, NEW, 1));
    nodes.values().forEach(n -> n.versions.onConfig(config));
    run(SETTLE_MS);
    assertThat(stored().getVerdict()).isEqualTo(RolloutVerdict.RUNNING);
  }

  @Test
  void pauseKeepsTheStage() {
    start(3);
    run(SETTLE_MS);
    apply(new Rule.PauseRollout(line(6, "pause"), MODEL, NEW));
    rate(MIN_REQUESTS, 0);
    run(SETTLE_MS);
    assertThat(stored().getVerdict()).isEqualTo(RolloutVerdict.PAUSED);
    assertThat(stored().getStage()).isEqualTo(1);
    apply();
    run(SETTLE_MS);
    assertThat(stored().getStage()).isEqualTo(2);
  }

  @Test
  void successorResumesFromTheStoredStage() {
    start(5);
    run(SETTLE_MS);
    rate(MIN_REQUESTS, 0);
    run(SETTLE_MS);
    final long number = stored().getFencingNumber();
    nodes.remove(holders().get(0));
    run(2 * SETTLE_MS);
    assertThat(holders()).hasSize(1);
    rate(MIN_REQUESTS, 0);
    run(SETTLE_MS);
    assertThat(stored().getStage()).isEqualTo(3);
    assertThat(stored().getFencingNumber()).isGreaterThan(number);
  }

  /** Pauses the holder for several durations, at several offsets in its 500 ms step interval. */
  @ParameterizedTest
  @CsvSource({"0,3000", "0,10000", "5,30000", "250,30000", "495,30000", "700,60000"})
  void pausedHolderNeverRevertsStep(long atMs, long pauseMs) {
    start(5);
    run(SETTLE_MS);
    rate(MIN_REQUESTS, 0);
    run(atMs);
    Node old = holder();
    old.frozen = true;
    old.link.freeze();
    List<Integer> stages = new ArrayList<>();
    for (long t = 0; t < pauseMs; t += 1_000) {
      run(1_000);
      stages.add(stored().getStage());
    }
    old.frozen = false;
    old.link.thaw();
    for (int i = 0; i < 40; i++) {
      run(1_000);
      stages.add(stored().getStage());
    }
    assertThat(stages).isInOrder();
    assertThat(holders()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(StoreFault.class)
  void recoversFromEveryStoreFaultOnStepWrite(StoreFault fault) {
    start(3);
    run(SETTLE_MS);
    rate(MIN_REQUESTS, 0);
    store.inject(FakeObjectStore.Call.UPDATE, MODEL, fault);
    run(2 * SETTLE_MS);
    assertThat(stored().getStage()).isEqualTo(2);
  }

  @ParameterizedTest
  @EnumSource(StoreFault.class)
  void recoversFromEveryStoreFaultOnLeaseWrite(StoreFault fault) {
    start(3);
    store.inject(FakeObjectStore.Call.CREATE, "rollout/lease", fault);
    run(3 * SETTLE_MS);
    assertThat(holders()).hasSize(1);
    rate(MIN_REQUESTS, 0);
    run(SETTLE_MS);
    assertThat(stored().getStage()).isEqualTo(2);
  }
}
