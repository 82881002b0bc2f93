package org.currantslip.core.rollout;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.RolloutState;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class EvidenceVersionPolicyTest {
  private static final String MODEL = "corridor";
  private static final Rule ALLOW =
      new Rule.AllowModel(origin(1, "allow"), "north", "report", MODEL, "*");
  private static final Rule SERVE = new Rule.Serve(origin(2, "serve"), MODEL, "v1");

  private final ManualClock clock = ManualClock.startingAt(1_000);
  private final EvidenceVersionPolicy policy = newPolicy("a");

  private EvidenceVersionPolicy newPolicy(String node) {
    NodeId self = NodeId.newBuilder().setName(node).setIncarnation(1).build();
    return EvidenceVersionPolicy.create(self, clock, RolloutOptions.defaults());
  }

  private static Rule.Origin origin(int line, String text) {
    return new Rule.Origin(line, text, "road office");
  }

  private static Rule stage(int number, double share) {
    return new Rule.RolloutStage(origin(10 + number, "rollout"), MODEL, "v2", number, share, 200);
  }

  private static Rule withdraw(String version) {
    return new Rule.Withdraw(origin(20, "withdraw"), MODEL, version);
  }

  private static Rule resume(String text) {
    return new Rule.ResumeRollout(origin(30, text), MODEL, "v2", 1);
  }

  private static ConfigView config(long version, Rule... rules) {
    return new ConfigView(version, RuleSet.of(List.of(rules)));
  }

  private static VersionQuery query(String stickinessKey, @Nullable String boundVersion) {
    return new VersionQuery("north", "report", MODEL, stickinessKey, boundVersion);
  }

  private static void rate(VersionPolicy policy, int count, boolean good) {
    for (int i = 0; i < count; i++) {
      policy.onDispatched(MODEL, "v2");
      policy.onFinished(MODEL, "v2", false);
      policy.onRated(MODEL, "v2", good);
    }
  }

  static Stream<Arguments> keptVersionCases() {
    return Stream.of(
        Arguments.of("kept though not in service", "v0", new Rule[] {ALLOW, SERVE}, "v0", false),
        Arguments.of("withdrawn", "v0", new Rule[] {ALLOW, SERVE, withdraw("v0")}, "v1", true),
        Arguments.of(
            "no longer allowed",
            "v0",
            new Rule[] {
              new Rule.AllowModel(origin(1, "allow"), "north", "report", MODEL, "v1"), SERVE
            },
            "v1",
            true));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("keptVersionCases")
  void sessionKeepsItsVersion(
      String name, String boundVersion, Rule[] rules, String version, boolean moved) {
    VersionChoice choice = policy.choose(config(1, rules), query("s", boundVersion));
    assertThat(choice.version()).isEqualTo(version);
    assertThat(choice.sessionMoved()).isEqualTo(moved);
  }

  static Stream<Arguments> refusals() {
    return Stream.of(
        Arguments.of(new Rule[] {ALLOW}, ResultCode.MODEL_UNKNOWN),
        Arguments.of(new Rule[] {SERVE}, ResultCode.MODEL_NOT_ALLOWED),
        Arguments.of(new Rule[] {ALLOW, SERVE, withdraw("*")}, ResultCode.VERSION_WITHDRAWN));
  }

  @ParameterizedTest
  @MethodSource("refusals")
  void refusesWhatNoRuleAllows(Rule[] rules, ResultCode code) {
    RefusalException e =
        assertThrows(
            RefusalException.class, () -> policy.choose(config(1, rules), query("s", null)));
    assertThat(e.code()).isEqualTo(code);
  }

  private Set<String> sessionsOnNewVersion(ConfigView config) {
    Set<String> found = new HashSet<>();
    IntStream.range(0, 4000)
        .mapToObj(i -> "session-" + i)
        .filter(s -> policy.choose(config, query(s, null)).version().equals("v2"))
        .forEach(found::add);
    return found;
  }

  @Test
  void growingShareOnlyAddsSessions() {
    Set<String> small = sessionsOnNewVersion(config(1, ALLOW, SERVE, stage(1, 0.05)));
    Set<String> large = sessionsOnNewVersion(config(2, ALLOW, SERVE, stage(1, 0.25)));
    assertThat(small.size()).isIn(com.google.common.collect.Range.closed(140, 260));
    assertThat(large.size()).isIn(com.google.common.collect.Range.closed(880, 1120));
    assertThat(large).containsAtLeastElementsIn(small);
  }

  @Test
  void laterStageComesFromTheController() {
    ConfigView config = config(1, ALLOW, SERVE, stage(1, 0.05), stage(2, 1.0));
    policy.onState(RolloutState.newBuilder().setModel(MODEL).setVersion("v2").setStage(2).build());
    assertThat(policy.choose(config, query("any", null)).version()).isEqualTo("v2");
  }

  @Test
  void badVersionIsStoppedEverywhereUntilNewResumeRule() {
    ConfigView first = config(1, ALLOW, SERVE, stage(1, 1.0), resume("resume # old"));
    EvidenceVersionPolicy other = newPolicy("b");
    List<BrakeNotice> notices = new ArrayList<>();
    policy.setStopListener(notices::add);
    policy.choose(first, query("s", null));
    other.choose(first, query("s", null));
    rate(policy, 12, false);

    assertThat(notices).hasSize(1);
    assertThat(notices.get(0).getReason()).contains("corridor/v2 stopped");
    other.onEvidence(policy.evidence());
    for (EvidenceVersionPolicy p : List.of(policy, other)) {
      assertThat(p.choose(first, query("s", null)).version()).isEqualTo("v1");
      assertThat(p.choose(first, query("s", "v2")).sessionMoved()).isTrue();
    }
    ConfigView unrelated = config(2, ALLOW, SERVE, stage(1, 1.0), resume("resume # old"));
    assertThat(other.choose(unrelated, query("s", null)).version()).isEqualTo("v1");
    ConfigView resumed = config(3, ALLOW, SERVE, stage(1, 1.0), resume("resume # new"));
    assertThat(other.choose(resumed, query("s", null)).version()).isEqualTo("v2");
  }

  @Test
  void evidenceOfEachNodeCountsOnce() {
    ConfigView config = config(1, ALLOW, SERVE, stage(1, 1.0));
    policy.choose(config, query("s", null));
    for (int n = 0; n < 6; n++) {
      EvidenceVersionPolicy other = newPolicy("n" + n);
      other.choose(config, query("s", null));
      rate(other, 1, false);
      rate(other, 4, true);
      policy.onEvidence(other.evidence());
      policy.onEvidence(other.evidence());
    }
    assertThat(policy.ratingsInStage(MODEL, "v2")).isEqualTo(30);
  }

  @Test
  void exposureIsBoundedWithoutRatings() {
    ConfigView config = config(1, ALLOW, SERVE, stage(1, 1.0));
    int dispatched = 0;
    for (int i = 0; i < 5000; i++) {
      if (policy.choose(config, query("s" + i, null)).version().equals("v2")) {
        policy.onDispatched(MODEL, "v2");
        policy.onFinished(MODEL, "v2", false);
        dispatched++;
      }
    }
    assertThat(dispatched).isEqualTo(RolloutOptions.defaults().unratedCap());
  }
}
