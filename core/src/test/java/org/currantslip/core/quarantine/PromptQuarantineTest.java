package org.currantslip.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.membership.NodeRanking;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.QuarantineUpdate;
import org.junit.jupiter.api.Test;

final class PromptQuarantineTest {
  private static final String SERVICE = "reports";
  private static final long DAY_MS = 86_400_000;

  private final ManualClock clock = ManualClock.startingAt(DAY_MS);
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Queue<Runnable> messages = new ArrayDeque<>();
  private int endpointCount;

  private final class Node implements QuarantinePeers {
    private final String name;
    private final PromptQuarantine quarantine = PromptQuarantine.create(clock, this);

    private Node(String name) {
      this.name = name;
    }

    @Override
    public String self() {
      return name;
    }

    @Override
    public List<String> rankedNodes(String service, String part) {
      return NodeRanking.rank(service, part, nodes.keySet());
    }

    @Override
    public void send(String node, QuarantineUpdate update) {
      messages.add(() -> node(node).quarantine.onUpdate(name, update));
    }

    @Override
    public void sendToAll(QuarantineUpdate update) {
      nodes.keySet().stream().filter(n -> !n.equals(name)).forEach(n -> send(n, update));
    }

    private PromptCall call(EndpointInstance endpoint, String... parts) {
      return quarantine.onSent(prompt(parts), endpoint);
    }

    private Admission check(String... parts) {
      return quarantine.check(prompt(parts));
    }

    private boolean mayRepeat(int crashes, String... parts) {
      return quarantine.mayRepeatPrompt(prompt(parts), crashes);
    }

    /** Sends a prompt to an endpoint of its own, which crashes. */
    private void crash(String... parts) {
      PromptCall call = call(nextEndpoint(), parts);
      advance(200);
      quarantine.onBroken(call);
      advance(300);
    }

    private void answer(String... parts) {
      PromptCall call = call(nextEndpoint(), parts);
      advance(200);
      quarantine.onProgress(call);
      quarantine.onEnded(call);
      advance(50);
    }
  }

  private List<Node> startNodes(int count) {
    List<Node> started = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = "n" + nodes.size();
      Node node = new Node(name);
      nodes.put(name, node);
      started.add(node);
    }
    return started;
  }

  private Node node(String name) {
    return Objects.requireNonNull(nodes.get(name));
  }

  private EndpointInstance nextEndpoint() {
    return new EndpointInstance("e" + endpointCount++, 1);
  }

  private static RequestFingerprints prompt(String... parts) {
    return promptOf(SERVICE, parts);
  }

  private static RequestFingerprints promptOf(String service, String... parts) {
    return RequestFingerprints.ofPrompt(
        service, Stream.of(parts).map(id -> new PromptPart(id, 100)).toList());
  }

  /** Advances the clock, with the nodes at work. */
  private void advance(long ms) {
    for (long atMs = 0; atMs < ms; atMs += 50) {
      clock.advance(50);
      nodes.values().forEach(n -> n.quarantine.tick());
      while (!messages.isEmpty()) {
        messages.remove().run();
      }
    }
  }

  /** Lets all nodes see answers of the service. */
  private void warmUp() {
    nodes.values().forEach(n -> n.answer("first", "own"));
    advance(6_000);
  }

  /** Lets endpoints crash under a part until it is quarantined. */
  private void convict(String part) {
    List<Node> all = List.copyOf(nodes.values());
    for (int i = 0; i < 3; i++) {
      all.get(i % all.size()).crash("route", part, "own" + i);
    }
    advance(1_500);
    assertThat(all.stream().allMatch(n -> n.check(part, "own").isRefused())).isTrue();
  }

  @Test
  void crashesSeenByDifferentNodesAddUp() {
    List<Node> all = startNodes(5);
    warmUp();
    all.get(0).crash("route", "bad", "own0");
    all.get(1).crash("route", "bad", "own1");
    assertThat(all.get(4).check("other", "bad", "own").isRefused()).isFalse();
    all.get(2).crash("route", "bad", "own2");
    all.forEach(
        n -> {
          assertThat(n.check("other", "bad", "own").isRefused()).isTrue();
          assertThat(n.check("other", "bad", "own").retryAfterMs()).isAtLeast(5_000L);
        });
  }

  @Test
  void burstOfCrashesConvictsTheirCommonPart() {
    List<Node> all = startNodes(5);
    warmUp();
    List<PromptCall> calls =
        all.stream().map(n -> n.call(nextEndpoint(), "bad", "own" + n.name)).toList();
    advance(200);
    for (int i = 0; i < calls.size(); i++) {
      all.get(i).quarantine.onBroken(calls.get(i));
    }
    advance(300);
    all.forEach(n -> assertThat(n.check("bad", "own").isRefused()).isTrue());
  }

  @Test
  void soundPartsOfBadPromptsAreSent() {
    List<Node> all = startNodes(4);
    all.get(3).answer("route", "account", "own");
    convict("bad");
    all.forEach(n -> assertThat(n.check("route", "account", "own").isRefused()).isFalse());
  }

  @Test
  void crashOfAllEndpointsConvictsNoPartThatWasAnswered() {
    List<Node> all = startNodes(4);
    all.forEach(n -> n.answer("route", "account", "own"));
    for (int kill = 0; kill < 3; kill++) {
      List<PromptCall> calls = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        calls.add(all.get(i % 4).call(nextEndpoint(), "route", "account", "own" + i));
      }
      advance(200);
      for (int i = 0; i < 40; i++) {
        all.get(i % 4).quarantine.onBroken(calls.get(i));
      }
      advance(1_000);
    }
    all.forEach(n -> assertThat(n.check("route", "account", "own").isRefused()).isFalse());
  }

  @Test
  void oneCrashSeenByManyNodesCountsOnce() {
    List<Node> all = startNodes(8);
    EndpointInstance endpoint = nextEndpoint();
    List<PromptCall> calls =
        all.stream().map(n -> n.call(endpoint, "rare", "own" + n.name)).toList();
    for (int i = 0; i < calls.size(); i++) {
      all.get(i).quarantine.onBroken(calls.get(i));
      advance(100);
    }
    advance(2_000);
    assertThat(all.get(0).check("rare", "own").isRefused()).isFalse();
  }

  @Test
  void lastPartIsNotSuspected() {
    List<Node> all = startNodes(3);
    for (int i = 0; i < 6; i++) {
      all.get(i % 3).crash("route" + i, "session");
    }
    assertThat(all.get(0).check("route", "session").isRefused()).isFalse();
    assertThat(all.get(0).check("session", "own").isRefused()).isFalse();
  }

  @Test
  void partOfAnotherServiceIsSent() {
    List<Node> all = startNodes(3);
    convict("bad");
    assertThat(all.get(0).quarantine.check(promptOf("lookups", "bad", "own")).isRefused())
        .isFalse();
  }

  @Test
  void brokenResponseIsNoCrashWhileOthersOfTheEndpointGoOn() {
    List<Node> all = startNodes(3);
    for (int i = 0; i < 8; i++) {
      Node node = all.get(i % 3);
      EndpointInstance endpoint = nextEndpoint();
      PromptCall other = node.call(endpoint, "route", "own");
      node.quarantine.onProgress(other);
      PromptCall broken = node.call(endpoint, "rare", "own" + i);
      advance(100);
      node.quarantine.onBroken(broken);
      advance(100);
      node.quarantine.onProgress(other);
      advance(600);
      node.quarantine.onEnded(other);
    }
    assertThat(all.get(0).check("rare", "own").isRefused()).isFalse();
  }

  @Test
  void endsWithoutBrokenConnectionAccuseNobody() {
    List<Node> all = startNodes(3);
    for (int i = 0; i < 6; i++) {
      Node node = all.get(i % 3);
      node.quarantine.onEnded(node.call(nextEndpoint(), "rare", "own" + i));
      advance(300);
      node.quarantine.onAbandoned(node.call(nextEndpoint(), "rare", "own" + i));
      advance(5_000);
    }
    assertThat(all.get(0).check("rare", "own").isRefused()).isFalse();
  }

  @Test
  void abandonedRequestIsSuspectedIfItsEndpointCrashesSoon() {
    List<Node> all = startNodes(3);
    for (int i = 0; i < 3; i++) {
      EndpointInstance endpoint = nextEndpoint();
      Node node = all.get(i);
      PromptCall bad = node.call(endpoint, "bad", "own" + i);
      PromptCall other = node.call(endpoint, "other" + i, "own");
      node.quarantine.onAbandoned(bad);
      advance(500);
      node.quarantine.onBroken(other);
      advance(300);
    }
    all.forEach(n -> assertThat(n.check("bad", "own").isRefused()).isTrue());
  }

  @Test
  void atMostThreeTrialsRunInOneDay() {
    List<Node> all = startNodes(6);
    convict("bad");
    int sent = 0;
    for (long atMs = 0; atMs < DAY_MS; atMs += 20_000) {
      advance(50);
      for (Node node : all) {
        if (!node.check("bad", "own").isRefused()) {
          sent++;
          node.crash("bad", "own");
        }
      }
      clock.advance(20_000);
    }
    assertThat(sent).isAtMost(3);
    assertThat(sent).isAtLeast(1);
  }

  @Test
  void trialsDoNotOverlap() {
    List<Node> all = startNodes(6);
    convict("bad");
    clock.advance(9_000);
    int sent = 0;
    for (Node node : all) {
      for (int i = 0; i < 3; i++) {
        if (node.check("bad", "own").kind() == Admission.Kind.SEND_AS_TRIAL) {
          sent++;
          PromptCall unused = node.call(nextEndpoint(), "bad", "own");
        }
      }
      advance(50);
    }
    assertThat(sent).isEqualTo(1);
  }

  @Test
  void trialThatReachedNoEndpointIsRunAgain() {
    startNodes(6);
    convict("bad");
    advance(9_000);
    Node first = node(NodeRanking.rank(SERVICE, "bad", nodes.keySet()).get(0));
    for (int i = 0; i < 5; i++) {
      assertThat(first.check("bad", "own").isRefused()).isFalse();
      first.quarantine.onNotSent(first.call(nextEndpoint(), "bad", "own"));
      advance(50);
    }
    first.crash("bad", "own");
    nodes.values().forEach(n -> assertThat(n.check("bad", "own").isRefused()).isTrue());
    advance(5_000);
    nodes.values().forEach(n -> assertThat(n.check("bad", "own").isRefused()).isTrue());
  }

  @Test
  void crashesBeforeAnyAnswerConvictNoPartThatIsAnsweredSoon() {
    List<Node> all = startNodes(4);
    List<PromptCall> calls =
        all.stream().map(n -> n.call(nextEndpoint(), "route", "own" + n.name)).toList();
    List<PromptCall> more =
        all.stream().map(n -> n.call(nextEndpoint(), "route", "own" + n.name)).toList();
    for (int i = 0; i < 4; i++) {
      all.get(i).quarantine.onBroken(calls.get(i));
      all.get(i).quarantine.onBroken(more.get(i));
    }
    advance(500);
    all.forEach(n -> assertThat(n.check("route", "own").isRefused()).isFalse());
    all.get(0).answer("route", "own");
    advance(3_000);
    all.forEach(n -> assertThat(n.check("route", "own").isRefused()).isFalse());
  }

  @Test
  void trialRunsThoughTheFirstJudgeGetsNoRequest() {
    List<Node> all = startNodes(6);
    Node last = node(NodeRanking.rank(SERVICE, "wrong", nodes.keySet()).get(all.size() - 1));
    convict("wrong");
    advance(9_000);
    assertThat(last.check("wrong", "own").isRefused()).isTrue();
    advance(40_000);
    assertThat(last.check("wrong", "own").isRefused()).isFalse();
    last.answer("wrong", "own");
    all.forEach(n -> assertThat(n.check("wrong", "own")).isEqualTo(Admission.send()));
  }

  @Test
  void trialsPreferPromptsWithoutOtherQuarantinedParts() {
    startNodes(1);
    convict("bad");
    convict("wrong");
    advance(7_000);
    Node node = node("n0");
    assertThat(node.check("wrong", "bad", "own").isRefused()).isTrue();
    assertThat(node.check("wrong", "own").isRefused()).isFalse();
  }

  @Test
  void verdictsOnPartsThatOccurOnlyTogetherEnd() {
    startNodes(1);
    convict("wrong0");
    convict("wrong1");
    advance(16_000);
    Node node = node("n0");
    assertThat(node.check("wrong0", "wrong1", "own").isRefused()).isFalse();
    node.answer("wrong0", "wrong1", "own");
    assertThat(node.check("wrong0", "own")).isEqualTo(Admission.send());
    assertThat(node.check("wrong1", "own")).isEqualTo(Admission.send());
  }

  @Test
  void successSeenByAnotherNodeLiftsTheVerdict() {
    List<Node> all = startNodes(6);
    all.get(0).crash("part", "own0");
    all.get(5).answer("part", "own");
    all.get(1).crash("part", "own1");
    all.get(2).crash("part", "own2");
    advance(500);
    all.forEach(n -> assertThat(n.check("part", "own").isRefused()).isFalse());
  }

  @Test
  void answeredPartIsConvictedIfItCrashesEndpointsFromNowOn() {
    List<Node> all = startNodes(3);
    all.get(0).answer("part", "own");
    for (int i = 0; i < 6; i++) {
      all.get(i % 3).crash("part", "own" + i);
    }
    advance(500);
    all.forEach(n -> assertThat(n.check("part", "own").isRefused()).isTrue());
  }

  @Test
  void answeredPartIsNotConvictedOfCrashesUnderBadParts() {
    List<Node> all = startNodes(3);
    all.forEach(n -> n.answer("part", "own"));
    for (int bad = 0; bad < 4; bad++) {
      for (int i = 0; i < 3; i++) {
        all.get(i).crash("part", "bad" + bad, "own" + i);
      }
    }
    advance(500);
    all.forEach(n -> assertThat(n.check("part", "own").isRefused()).isFalse());
    all.forEach(n -> assertThat(n.check("bad3", "own").isRefused()).isTrue());
  }

  @Test
  void nodeThatStartsLaterGetsTheVerdicts() {
    List<Node> all = startNodes(3);
    convict("bad");
    Node joined = startNodes(1).get(0);
    joined.quarantine.onUpdate("n0", all.get(0).quarantine.snapshot());
    assertThat(joined.check("bad", "own").isRefused()).isTrue();
  }

  @Test
  void oldVerdictOfReturningNodeIsLifted() {
    List<Node> all = startNodes(3);
    convict("wrong");
    QuarantineUpdate old = all.get(0).quarantine.snapshot();
    Node cutOff = new Node("n9");
    cutOff.quarantine.onUpdate("n0", old);
    advance(60_000);
    all.stream()
        .filter(n -> !n.check("wrong", "own").isRefused())
        .findFirst()
        .orElseThrow()
        .answer("wrong", "own");
    nodes.put("n9", cutOff);
    all.get(1).quarantine.onUpdate("n9", cutOff.quarantine.snapshot());
    advance(50);
    nodes.values().forEach(n -> assertThat(n.check("wrong", "own").isRefused()).isFalse());
  }

  @Test
  void requestThatMetTwoCrashesIsNotRepeated() {
    Node node = startNodes(2).get(0);
    assertThat(node.mayRepeat(1, "route", "own")).isTrue();
    assertThat(node.mayRepeat(2, "route", "own")).isFalse();
  }

  @Test
  void requestWithSuspectedPartIsNotRepeatedAfterItsFirstCrash() {
    Node node = startNodes(4).get(0);
    node.crash("suspect", "own0");
    assertThat(node.mayRepeat(1, "suspect", "own")).isTrue();
    node.crash("suspect", "own1");
    assertThat(node.mayRepeat(1, "suspect", "own")).isFalse();
    node.answer("suspect", "own2");
    assertThat(node.mayRepeat(1, "suspect", "own")).isTrue();
  }

  @Test
  void lostReportsAndVerdictsAreSentAgain() {
    List<Node> all = startNodes(4);
    for (int i = 0; i < 3; i++) {
      PromptCall call = all.get(i).call(nextEndpoint(), "bad", "own" + i);
      all.get(i).quarantine.onBroken(call);
      clock.advance(300);
      nodes.values().forEach(n -> n.quarantine.tick());
      messages.clear();
    }
    advance(2_000);
    all.forEach(n -> assertThat(n.check("bad", "own").isRefused()).isTrue());
  }

  @Test
  void singleNodeJudgesAlone() {
    Node node = startNodes(1).get(0);
    convict("bad");
    advance(9_000);
    assertThat(node.check("bad", "own").kind()).isEqualTo(Admission.Kind.SEND_AS_TRIAL);
    node.answer("bad", "own");
    assertThat(node.check("bad", "own")).isEqualTo(Admission.send());
  }

  private static RequestFingerprints request(String service, String body) {
    return RequestFingerprints.of(
        service,
        Stream.of("session", body).map(id -> new PromptPart(id, 100)).toList(),
        "POST",
        "/x?y=z",
        "account",
        ByteString.copyFromUtf8(body));
  }

  private boolean isRefused(Node node, String body) {
    return node.quarantine.check(request(SERVICE, body)).isRefused();
  }

  /** Sends requests to one endpoint, which answers two events and crashes. */
  private void crashAfterEvents(Node node, String... bodies) {
    EndpointInstance endpoint = nextEndpoint();
    List<PromptCall> calls =
        Stream.of(bodies)
            .map(body -> node.quarantine.onSent(request(SERVICE, body), endpoint))
            .toList();
    advance(200);
    calls.forEach(node.quarantine::onProgress);
    calls.forEach(node.quarantine::onBroken);
    advance(600);
  }

  private void answerRequest(Node node, String body) {
    PromptCall call = node.quarantine.onSent(request(SERVICE, body), nextEndpoint());
    advance(50);
    node.quarantine.onAnswered(call);
  }

  @Test
  void requestThatCrashedThreeEndpointsIsRefusedWithAnyService() {
    List<Node> all = startNodes(5);
    for (int i = 0; i < 3; i++) {
      assertThat(isRefused(all.get(4), "bad")).isFalse();
      crashAfterEvents(all.get(i), "bad");
    }
    advance(1_000);
    all.forEach(n -> assertThat(isRefused(n, "bad")).isTrue());
    all.forEach(n -> assertThat(isRefused(n, "good")).isFalse());
    assertThat(all.get(3).quarantine.check(request("lookups", "bad")).isRefused()).isTrue();
    assertThat(all.get(3).check("session", "bad").isRefused()).isFalse();
  }

  @Test
  void copiesOfRequestThatCrashThreeEndpointsAtOnceConvictIt() {
    List<Node> all = startNodes(3);
    List<PromptCall> calls =
        all.stream()
            .map(n -> n.quarantine.onSent(request(SERVICE, "bad"), nextEndpoint()))
            .toList();
    advance(50);
    for (int i = 0; i < 3; i++) {
      all.get(i).quarantine.onBroken(calls.get(i));
    }
    advance(2_000);
    all.forEach(n -> assertThat(isRefused(n, "bad")).isTrue());
  }

  @Test
  void onlyTheWholeAnswerOfRequestEndsItsSuspicion() {
    List<Node> all = startNodes(3);
    crashAfterEvents(all.get(0), "sound");
    crashAfterEvents(all.get(1), "sound");
    answerRequest(all.get(0), "sound");
    answerRequest(all.get(1), "sound");
    crashAfterEvents(all.get(2), "sound");
    advance(2_000);
    all.forEach(n -> assertThat(isRefused(n, "sound")).isFalse());
  }

  @Test
  void requestIsNotConvictedOfCrashesUnderAnotherOne() {
    List<Node> all = startNodes(3);
    crashAfterEvents(all.get(0), "bad", "sound");
    crashAfterEvents(all.get(1), "bad", "sound");
    crashAfterEvents(all.get(2), "bad");
    advance(1_000);
    crashAfterEvents(all.get(2), "sound");
    all.forEach(n -> assertThat(isRefused(n, "bad")).isTrue());
    all.forEach(n -> assertThat(isRefused(n, "sound")).isFalse());
  }

  @Test
  void requestReachesAtMostTwoEndpointsInOneDayAfterItsVerdict() {
    List<Node> all = startNodes(6);
    for (int i = 0; i < 3; i++) {
      crashAfterEvents(all.get(i), "bad");
    }
    advance(2_000);
    int sent = 0;
    for (long atMs = 0; atMs < DAY_MS; atMs += 5_000) {
      advance(50);
      for (Node node : all) {
        if (!isRefused(node, "bad")) {
          sent++;
          crashAfterEvents(node, "bad");
        }
      }
      clock.advance(5_000);
    }
    assertThat(sent).isAtMost(2);
    assertThat(sent).isAtLeast(1);
  }
}
