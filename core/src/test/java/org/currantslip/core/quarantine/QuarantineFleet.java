package org.currantslip.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.membership.NodeRanking;
import org.currantslip.core.quarantine.FleetResult.BadPart;
import org.currantslip.core.quarantine.FleetResult.SoundRequest;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.PartVerdict;
import org.currantslip.schema.QuarantineUpdate;
import org.jspecify.annotations.Nullable;

/**
 * Simulates nodes that send prompts to endpoints in batches, of which some crash the endpoint with
 * their first token.
 */
final class QuarantineFleet {
  static final String SERVICE = "reports";
  private static final long TICK_MS = 50;
  private static final long FIRST_BYTE_TIMEOUT_MS = 2_500;
  private static final int MAX_SENDS = 3;
  private static final int QUEUE = 16;

  private final FleetScenario scenario;
  private final Random random;
  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final long startMs = clock.nowMs();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final Map<String, Node> nodes = new TreeMap<>();
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final List<BadPart> badParts;
  private final List<SoundRequest> sound = new ArrayList<>();
  private final Set<String> falseVerdicts = new LinkedHashSet<>();
  private long eventCount;
  private long requestCount;
  private int unrelatedCrashes;

  private QuarantineFleet(FleetScenario scenario) {
    this.scenario = scenario;
    random = new Random(scenario.seed());
    badParts =
        IntStream.range(0, scenario.badParts()).mapToObj(i -> BadPart.of("bad" + i)).toList();
    IntStream.range(0, scenario.nodes()).forEach(i -> startNode("n" + i));
    IntStream.range(0, scenario.endpoints())
        .forEach(i -> endpoints.add(new Endpoint("e" + i, startMs - 60_000 - i)));
  }

  static FleetResult run(FleetScenario scenario) {
    return new QuarantineFleet(scenario).run();
  }

  private FleetResult run() {
    after(nextArrivalMs(), this::onArrival);
    if (scenario.crashesPerS() > 0) {
      after(exponential(1_000 / scenario.crashesPerS()), this::onUnrelatedCrash);
    }
    if (scenario.poolKillMs() >= 0) {
      after(scenario.poolKillMs(), () -> endpoints.forEach(this::crashUnrelated));
    }
    if (scenario.nodeRestartMs() >= 0) {
      after(scenario.nodeRestartMs(), this::restartNode);
    }
    after(TICK_MS, this::onTick);
    while (!events.isEmpty()) {
      Event event = events.remove();
      clock.advance(Math.max(0, event.atMs() - clock.nowMs()));
      event.action().run();
    }
    Set<String> standing =
        nodes.values().stream()
            .flatMap(n -> n.quarantine.snapshot().getVerdictList().stream())
            .filter(v -> v.getQuarantined() && !isBad(v))
            .map(PartVerdict::getPart)
            .collect(Collectors.toSet());
    return new FleetResult(badParts, sound, unrelatedCrashes, falseVerdicts, standing);
  }

  private boolean isBad(PartVerdict verdict) {
    return badParts.stream().anyMatch(part -> part.id().equals(verdict.getPart()));
  }

  private long elapsedMs() {
    return clock.nowMs() - startMs;
  }

  private boolean isOver() {
    return elapsedMs() >= scenario.endMs();
  }

  private void after(long delayMs, Runnable action) {
    events.add(new Event(clock.nowMs() + delayMs, eventCount++, action));
  }

  private long exponential(double meanMs) {
    return Math.round(-Math.log(1 - random.nextDouble()) * meanMs);
  }

  private long nextArrivalMs() {
    return exponential(1_000 / scenario.requestsPerS());
  }

  private void onTick() {
    nodes.values().forEach(n -> n.quarantine.tick());
    if (!isOver()) {
      after(TICK_MS, this::onTick);
    }
  }

  private void onArrival() {
    if (isOver()) {
      return;
    }
    after(nextArrivalMs(), this::onArrival);
    Request request = nextRequest();
    send(request, randomNode());
  }

  private Node randomNode() {
    List<Node> all = List.copyOf(nodes.values());
    return all.get(random.nextInt(all.size()));
  }

  private Request nextRequest() {
    int account = random.nextInt(8);
    List<String> parts = new ArrayList<>();
    parts.add("route" + account % 3);
    parts.add("account" + account);
    if (random.nextBoolean()) {
      parts.add("subject" + (int) (400 * Math.pow(random.nextDouble(), 3)));
    }
    @Nullable BadPart badPart = null;
    if (isBadDue()) {
      badPart = badParts.get(random.nextInt(badParts.size()));
      int position = Math.min(scenario.badPosition(), parts.size());
      if (random.nextBoolean() && position < parts.size()) {
        parts.set(position, badPart.id());
      } else {
        parts.add(position, badPart.id());
      }
    }
    parts.add("own" + requestCount++);
    return new Request(
        parts.stream().map(id -> new PromptPart(id, 100)).toList(),
        badPart,
        random.nextInt(10) < 7);
  }

  private boolean isBadDue() {
    return !badParts.isEmpty()
        && elapsedMs() >= scenario.badFromMs()
        && random.nextDouble() < scenario.badShare();
  }

  private Node startNode(String name) {
    Node node = new Node(name);
    nodes.put(name, node);
    return node;
  }

  private Node node(String name) {
    return Objects.requireNonNull(nodes.get(name));
  }

  /** Restarts a node, whose requests are lost; its links are up at once. */
  private void restartNode() {
    String name = randomNode().name;
    Node started = startNode(name);
    nodes.values().stream()
        .filter(other -> other != started)
        .forEach(
            other -> {
              QuarantineUpdate update = other.quarantine.snapshot();
              after(5, () -> started.quarantine.onUpdate(other.name, update));
            });
  }

  private void onUnrelatedCrash() {
    if (isOver()) {
      return;
    }
    after(exponential(1_000 / scenario.crashesPerS()), this::onUnrelatedCrash);
    crashUnrelated(endpoints.get(random.nextInt(endpoints.size())));
  }

  private void crashUnrelated(Endpoint endpoint) {
    if (endpoint.up) {
      unrelatedCrashes++;
      endpoint.crash();
    }
  }

  private void send(Request request, Node node) {
    Admission admission = node.quarantine.check(request.fingerprints());
    if (request.sends == 0 && request.badPart == null) {
      sound.add(
          new SoundRequest(
              elapsedMs(),
              request.prompt.stream()
                  .limit(request.prompt.size() - 1L)
                  .map(PromptPart::id)
                  .toList(),
              admission.isRefused()));
    }
    if (admission.isRefused()) {
      return;
    }
    List<Endpoint> known = endpoints.stream().filter(e -> e.knownUp).toList();
    if (known.isEmpty()) {
      return;
    }
    Endpoint a = known.get(random.nextInt(known.size()));
    Endpoint b = known.get(random.nextInt(known.size()));
    request.sends++;
    new Call(request, node, a.load() <= b.load() ? a : b).start();
  }

  private record Event(long atMs, long order, Runnable action) {}

  private static final class Request {
    private final List<PromptPart> prompt;
    private final @Nullable BadPart badPart;
    private final boolean repeatable;
    private int sends;
    private int crashes;

    private Request(List<PromptPart> prompt, @Nullable BadPart badPart, boolean repeatable) {
      this.prompt = prompt;
      this.badPart = badPart;
      this.repeatable = repeatable;
    }

    private RequestFingerprints fingerprints() {
      return RequestFingerprints.ofPrompt(SERVICE, prompt);
    }
  }

  private final class Node implements QuarantinePeers {
    private final String name;
    private final PromptQuarantine quarantine = PromptQuarantine.create(clock, this);

    private Node(String name) {
      this.name = name;
      quarantine.setListener((verdict, evidence) -> onVerdict(verdict));
    }

    private void onVerdict(PartVerdict verdict) {
      if (verdict.getQuarantined() && !isBad(verdict)) {
        falseVerdicts.add(verdict.getPart());
      }
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
      if (random.nextDouble() >= scenario.messageLoss()) {
        after(
            1 + random.nextLong(scenario.messageDelayMs()),
            () -> node(node).quarantine.onUpdate(name, update));
      }
    }

    @Override
    public void sendToAll(QuarantineUpdate update) {
      nodes.keySet().stream().filter(n -> !n.equals(name)).forEach(n -> send(n, update));
    }
  }

  /** A call as both sides see it. */
  private final class Call {
    private final Request request;
    private final Node node;
    private final Endpoint endpoint;
    private final PromptCall promptCall;
    private boolean progressed;
    private boolean ended;
    private boolean dropped;

    private Call(Request request, Node node, Endpoint endpoint) {
      this.request = request;
      this.node = node;
      this.endpoint = endpoint;
      promptCall =
          node.quarantine.onSent(
              request.fingerprints(), new EndpointInstance(endpoint.id, endpoint.knownStartedMs));
    }

    private void start() {
      if (!endpoint.up) {
        after(2, this::onNotSent);
        return;
      }
      recordSent();
      if (endpoint.isFull()) {
        after(2, this::onNotRun);
        return;
      }
      endpoint.accept(this);
      after(FIRST_BYTE_TIMEOUT_MS, this::onTimeout);
    }

    private void recordSent() {
      if (request.badPart != null) {
        request.badPart.sentMs().add(elapsedMs());
      }
    }

    private boolean isSeen() {
      return !ended && nodes.get(node.name) == node;
    }

    private void onNotSent() {
      if (isSeen()) {
        ended = true;
        node.quarantine.onNotSent(promptCall);
        repeat();
      }
    }

    private void onNotRun() {
      if (isSeen()) {
        ended = true;
        node.quarantine.onEnded(promptCall);
        repeat();
      }
    }

    private void onTimeout() {
      if (isSeen() && !progressed && request.repeatable) {
        ended = true;
        node.quarantine.onAbandoned(promptCall);
        dropped = random.nextDouble() < 0.7;
        repeat();
      }
    }

    private void onProgress() {
      if (isSeen()) {
        progressed = true;
        node.quarantine.onProgress(promptCall);
      }
    }

    private void onComplete() {
      if (isSeen()) {
        node.quarantine.onProgress(promptCall);
        node.quarantine.onEnded(promptCall);
        ended = true;
      }
    }

    private void onBroken() {
      if (!isSeen()) {
        return;
      }
      ended = true;
      node.quarantine.onBroken(promptCall);
      if (progressed) {
        return;
      }
      request.crashes++;
      if (request.repeatable
          && node.quarantine.mayRepeatPrompt(request.fingerprints(), request.crashes)) {
        repeat();
      }
    }

    private void repeat() {
      if (request.sends < MAX_SENDS) {
        QuarantineFleet.this.send(request, node);
      }
    }
  }

  private final class Endpoint {
    private final String name;
    private final Set<Call> running = new LinkedHashSet<>();
    private final List<Call> waiting = new ArrayList<>();
    private String id;
    private long startedMs;
    private long knownStartedMs;
    private boolean up = true;
    private boolean knownUp = true;
    private int starts;

    private Endpoint(String name, long startedMs) {
      this.name = name;
      this.startedMs = startedMs;
      id = name;
      knownStartedMs = startedMs;
    }

    private int load() {
      return running.size() + waiting.size();
    }

    private boolean isFull() {
      return waiting.size() >= QUEUE;
    }

    private void accept(Call call) {
      if (running.size() < scenario.batch()) {
        run(call);
      } else {
        waiting.add(call);
      }
    }

    private void run(Call call) {
      running.add(call);
      int start = starts;
      after(5 + exponential(scenario.prefillMs()), () -> ifRunning(call, start, this::onToken));
    }

    private void ifRunning(Call call, int start, Consumer<Call> action) {
      if (up && starts == start && running.contains(call)) {
        if (call.dropped) {
          remove(call);
        } else {
          action.accept(call);
        }
      }
    }

    private void onToken(Call call) {
      BadPart badPart = call.request.badPart;
      if (badPart != null) {
        badPart.crashMs().add(elapsedMs());
        crash();
        return;
      }
      if (random.nextDouble() < scenario.brokenShare()) {
        remove(call);
        after(2, call::onBroken);
        return;
      }
      int start = starts;
      after(30, () -> ifRunning(call, start, this::onSecondToken));
    }

    private void onSecondToken(Call call) {
      call.onProgress();
      long leftMs = exponential(scenario.serviceMs());
      int start = starts;
      for (long atMs = 200; atMs < leftMs; atMs += 200) {
        after(atMs, () -> ifRunning(call, start, Call::onProgress));
      }
      after(leftMs, () -> ifRunning(call, start, this::onLastToken));
    }

    private void onLastToken(Call call) {
      call.onComplete();
      remove(call);
    }

    private void remove(Call call) {
      running.remove(call);
      if (!waiting.isEmpty()) {
        run(waiting.remove(0));
      }
    }

    private void crash() {
      up = false;
      starts++;
      Stream.concat(running.stream(), waiting.stream())
          .forEach(call -> after(1 + random.nextLong(20), call::onBroken));
      running.clear();
      waiting.clear();
      long downMs = 2_000 + random.nextLong(3_000);
      int start = starts;
      after(
          random.nextInt(1_500),
          () -> {
            knownUp &= up || starts != start;
          });
      after(downMs, this::restart);
    }

    private void restart() {
      up = true;
      startedMs = clock.nowMs();
      String nextId = scenario.keepsId() ? name : name + "-" + starts;
      after(
          random.nextInt(500),
          () -> {
            id = nextId;
            knownStartedMs = startedMs;
            knownUp = true;
          });
    }
  }
}
