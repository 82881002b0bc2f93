package org.currantslip.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.PrefillReport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates prompts with shared parts that several nodes send to engines which prefill one prompt
 * at a time, and compares latency with simpler selection policies.
 */
final class EndpointSelectionLoadTest {
  private static final int NODES = 6;
  private static final int ENGINES = 8;
  private static final double TOKENS_PER_MS = 75;
  private static final long CACHE_TOKENS = 575_000;
  private static final double ARRIVALS_PER_S = 190;
  private static final long WARM_UP_MS = 15_000;
  private static final long END_MS = 45_000;
  private static final long OBJECTIVE_MS = 2_000;
  private static final long DECODE_MS = 400;
  private static final long REPORT_INTERVAL_MS = 75;
  private static final long REPORT_DELAY_MS = 2;

  /** Long prompts have a few common parts, and many parts that only some requests share. */
  private static final int COMMON_PARTS = 4;

  private static final int SHARED_PARTS = 1_800;

  /** An endpoint selection policy, from the view of one node. */
  private interface SelectionPolicy {
    int choose(EndpointQuery query);

    default RequestTracker track(int engine, EndpointQuery query) {
      return new RequestTracker() {
        @Override
        public void onStarted(long expectedTokens) {}

        @Override
        public void onFirstByte(long firstByteMs) {}

        @Override
        public void onFinished(CallResult result) {
          onRequestFinished(engine);
        }
      };
    }

    default void onRequestFinished(int engine) {}

    default void onLoad(EndpointLoad load) {}

    default PrefillReport report() {
      return PrefillReport.getDefaultInstance();
    }

    default void onReport(String node, PrefillReport report) {}
  }

  private static final class Engine {
    private final LinkedHashMap<String, Long> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;
    private double idleAtMs;
    private int waiting;
    private int running;

    /** Returns when the prefill of a prompt that arrives now ends. */
    double prefill(double nowMs, List<PromptPart> prompt) {
      double tokens = 0;
      boolean prefixCached = true;
      for (PromptPart part : prompt) {
        prefixCached &= parts.get(part.id()) != null;
        if (!prefixCached) {
          tokens += part.tokens();
          if (parts.put(part.id(), part.tokens()) == null) {
            cachedTokens += part.tokens();
          }
        }
      }
      while (cachedTokens > CACHE_TOKENS) {
        String oldest = parts.keySet().iterator().next();
        cachedTokens -= parts.getOrDefault(oldest, 0L);
        parts.remove(oldest);
      }
      idleAtMs = Math.max(nowMs, idleAtMs) + tokens / TOKENS_PER_MS;
      return idleAtMs;
    }
  }

  private record Event(double atMs, long order, Runnable action) {}

  /** Latency seen by the callers. */
  private record Result(double meanMs, double onTimeRatio) {}

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
  private long order;

  private void schedule(double atMs, Runnable action) {
    events.add(new Event(atMs, order++, action));
  }

  private static List<PromptPart> prompt(Random random, int number) {
    double kindSample = random.nextDouble();
    PromptPart uniquePart =
        new PromptPart(
            "own-" + number, kindSample < 0.37 ? 2_890 : kindSample < 0.78 ? 1_800 : 543);
    if (kindSample >= 0.37) {
      return List.of(
          new PromptPart("frame-" + (kindSample < 0.78), kindSample < 0.78 ? 568 : 172),
          uniquePart);
    }
    // Some parts are requested more often than others.
    int shared = (int) (SHARED_PARTS * Math.pow(random.nextDouble(), 1.5));
    int common = shared % COMMON_PARTS;
    return List.of(
        new PromptPart("common-" + common, 2_520),
        new PromptPart("shared-" + shared, 3_780),
        uniquePart);
  }

  private Result simulate(Supplier<SelectionPolicy> policy, long seed) {
    Random random = new Random(seed);
    List<SelectionPolicy> nodes = IntStream.range(0, NODES).mapToObj(i -> policy.get()).toList();
    List<Engine> engines = IntStream.range(0, ENGINES).mapToObj(i -> new Engine()).toList();
    List<Double> firstTokenTimesMs = new ArrayList<>();
    double atMs = 0;
    for (int i = 0; atMs < END_MS; i++) {
      atMs -= Math.log(1 - random.nextDouble()) * 1_000 / ARRIVALS_PER_S;
      SelectionPolicy node = nodes.get(random.nextInt(NODES));
      EndpointQuery query = EndpointQuery.ofService("s", "", "m0", prompt(random, i), Set.of());
      double arrivedMs = atMs;
      schedule(arrivedMs, () -> send(node, engines, query, arrivedMs, firstTokenTimesMs));
    }
    for (long t = 0; t < END_MS; t += REPORT_INTERVAL_MS) {
      long reportMs = t;
      schedule(t, () -> exchangeReports(nodes, reportMs));
    }
    long startMs = clock.nowMs();
    while (!events.isEmpty()) {
      Event next = events.remove();
      clock.advance(Math.max(0, startMs + (long) next.atMs() - clock.nowMs()));
      next.action().run();
    }
    double mean = firstTokenTimesMs.stream().mapToDouble(t -> t).average().orElse(Double.NaN);
    long onTime = firstTokenTimesMs.stream().filter(t -> t <= OBJECTIVE_MS).count();
    return new Result(mean, (double) onTime / firstTokenTimesMs.size());
  }

  private void exchangeReports(List<SelectionPolicy> nodes, long nowMs) {
    for (int i = 0; i < nodes.size(); i++) {
      SelectionPolicy sender = nodes.get(i);
      PrefillReport report = sender.report();
      String name = "n" + i;
      schedule(
          nowMs + REPORT_DELAY_MS,
          () -> nodes.stream().filter(n -> n != sender).forEach(n -> n.onReport(name, report)));
    }
  }

  private void send(
      SelectionPolicy node,
      List<Engine> engines,
      EndpointQuery query,
      double nowMs,
      List<Double> firstTokenTimesMs) {
    int engineIndex = node.choose(query);
    RequestTracker tracker = node.track(engineIndex, query);
    tracker.onStarted(100);
    Engine engine = engines.get(engineIndex);
    engine.waiting++;
    double firstMs = engine.prefill(nowMs, query.prompt());
    schedule(
        firstMs,
        () -> {
          engine.waiting--;
          engine.running++;
          long firstTokenMs = (long) (firstMs - nowMs);
          tracker.onFirstByte(firstTokenMs);
          node.onLoad(
              new EndpointLoad(
                  "e" + engineIndex, engine.running, engine.waiting, 0, clock.nowMs()));
          if (nowMs >= WARM_UP_MS) {
            firstTokenTimesMs.add(firstMs - nowMs);
          }
        });
    schedule(
        firstMs + DECODE_MS,
        () -> {
          engine.running--;
          long firstTokenMs = (long) (firstMs - nowMs);
          tracker.onFinished(new CallResult(true, false, firstTokenMs, firstTokenMs + DECODE_MS));
        });
  }

  private SelectionPolicy expectedWait(long seed, boolean withPeerReports) {
    ExpectedWaitChooser chooser = ExpectedWaitChooser.create(clock, "z", seed);
    chooser.onEndpoints(
        IntStream.range(0, ENGINES)
            .mapToObj(
                i ->
                    EndpointRecord.newBuilder()
                        .setId("e" + i)
                        .setService("s")
                        .setVersion("v1")
                        .setFailureDomain("z")
                        .setSlots(128)
                        .build())
            .toList());
    return new SelectionPolicy() {
      @Override
      public int choose(EndpointQuery query) {
        return Integer.parseInt(chooser.choose(query).orElseThrow().getId().substring(1));
      }

      @Override
      public RequestTracker track(int engine, EndpointQuery query) {
        return chooser.track("e" + engine, query);
      }

      @Override
      public void onLoad(EndpointLoad load) {
        chooser.onLoad(load);
      }

      @Override
      public PrefillReport report() {
        return chooser.prefillReport();
      }

      @Override
      public void onReport(String node, PrefillReport report) {
        if (withPeerReports) {
          chooser.onPrefillReport(node, report);
        }
      }
    };
  }

  private static SelectionPolicy roundRobin() {
    int[] next = {0};
    return query -> next[0]++ % ENGINES;
  }

  /** Picks the engine with the fewest requests in flight from this node among random candidates. */
  private static SelectionPolicy leastInFlight(int choices, long seed) {
    int[] inFlight = new int[ENGINES];
    Random random = new Random(seed);
    return new SelectionPolicy() {
      @Override
      public int choose(EndpointQuery query) {
        int best =
            random
                .ints(choices == ENGINES ? 4 * ENGINES : choices, 0, ENGINES)
                .boxed()
                .min(Comparator.comparingInt(i -> inFlight[i]))
                .orElseThrow();
        inFlight[best]++;
        return best;
      }

      @Override
      public void onRequestFinished(int engine) {
        inFlight[engine]--;
      }
    };
  }

  /** Without reports a node does not see the prompts that others have just sent. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void reportsOfPeersShortenTheWaitForTheirPrompts(long seed) {
    Result alone = simulate(() -> expectedWait(seed, false), seed);
    Result informed = simulate(() -> expectedWait(seed, true), seed);
    assertWithMessage("alone %s", alone).that(informed.meanMs()).isLessThan(alone.meanMs());
    assertThat(informed.onTimeRatio()).isAtLeast(alone.onTimeRatio());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void expectedWaitBeatsSimplerPoliciesOnSharedPrompts(long seed) {
    Map<String, Result> results = new LinkedHashMap<>();
    results.put("expected wait", simulate(() -> expectedWait(seed, false), seed));
    results.put("round robin", simulate(EndpointSelectionLoadTest::roundRobin, seed));
    results.put("least in flight", simulate(() -> leastInFlight(ENGINES, seed), seed));
    results.put("two choices", simulate(() -> leastInFlight(2, seed), seed));
    Result expectedWaitResult = results.get("expected wait");
    assertThat(expectedWaitResult).isNotNull();
    results.forEach(
        (name, other) -> {
          assertWithMessage("%s in %s", name, results)
              .that(expectedWaitResult.meanMs())
              .isAtMost(other.meanMs());
          assertWithMessage("%s in %s", name, results)
              .that(expectedWaitResult.onTimeRatio())
              .isAtLeast(other.onTimeRatio());
        });
  }
}
