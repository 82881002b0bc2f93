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
import org.currantslip.core.common.DrivenClock;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.EndpointRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays a load of prompts with shared parts through several nodes to engines that read one prompt
 * at a time, and checks what callers get against simpler ways of placing.
 */
final class PlacingLoadTest {
  private static final int NODES = 6;
  private static final int ENGINES = 8;
  private static final double TOKENS_PER_MS = 75;
  private static final long CACHE_TOKENS = 575_000;
  private static final double ARRIVALS_PER_S = 190;
  private static final long WARM_MS = 15_000;
  private static final long END_MS = 45_000;
  private static final long OBJECTIVE_MS = 2_000;
  private static final long WRITING_MS = 400;

  /** Long prompts: a few common parts, and many parts that some requests share. */
  private static final int COMMON_PARTS = 4;

  private static final int SHARED_PARTS = 1_800;

  /** One way of placing, as one node sees the engines. */
  private interface Placing {
    int choose(RouteQuery query);

    default EndpointUse use(int engine, RouteQuery query) {
      return new EndpointUse() {
        @Override
        public void started(long expectedTokens) {}

        @Override
        public void answering(long firstByteMs) {}

        @Override
        public void finished(CallResult result) {
          ended(engine);
        }
      };
    }

    default void ended(int engine) {}

    default void onLoad(EndpointLoad load) {}
  }

  private static final class Engine {
    private final LinkedHashMap<String, Long> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long kept;
    private double freeAtMs;
    private int waiting;
    private int running;

    /** Returns when a prompt that arrives now has been read. */
    double read(double nowMs, List<PromptPart> prompt) {
      double tokens = 0;
      boolean chain = true;
      for (PromptPart part : prompt) {
        chain &= parts.get(part.id()) != null;
        if (!chain) {
          tokens += part.tokens();
          if (parts.put(part.id(), part.tokens()) == null) {
            kept += part.tokens();
          }
        }
      }
      while (kept > CACHE_TOKENS) {
        String oldest = parts.keySet().iterator().next();
        kept -= parts.getOrDefault(oldest, 0L);
        parts.remove(oldest);
      }
      freeAtMs = Math.max(nowMs, freeAtMs) + tokens / TOKENS_PER_MS;
      return freeAtMs;
    }
  }

  private record Event(double atMs, long order, Runnable action) {}

  /** What callers got. */
  private record Served(double meanMs, double inTime) {}

  private final DrivenClock clock = DrivenClock.startingAt(1_000_000);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
  private long order;

  private void at(double atMs, Runnable action) {
    events.add(new Event(atMs, order++, action));
  }

  private static List<PromptPart> prompt(Random random, int number) {
    double kind = random.nextDouble();
    PromptPart own =
        new PromptPart("own-" + number, kind < 0.37 ? 2_890 : kind < 0.78 ? 1_800 : 543);
    if (kind >= 0.37) {
      return List.of(new PromptPart("frame-" + (kind < 0.78), kind < 0.78 ? 568 : 172), own);
    }
    // Some parts are asked for more often than others.
    int shared = (int) (SHARED_PARTS * Math.pow(random.nextDouble(), 1.5));
    int common = shared % COMMON_PARTS;
    return List.of(
        new PromptPart("common-" + common, 2_520), new PromptPart("shared-" + shared, 3_780), own);
  }

  private Served play(Supplier<Placing> placing, long seed) {
    Random random = new Random(seed);
    List<Placing> nodes = IntStream.range(0, NODES).mapToObj(i -> placing.get()).toList();
    List<Engine> engines = IntStream.range(0, ENGINES).mapToObj(i -> new Engine()).toList();
    List<Double> firstTokens = new ArrayList<>();
    double atMs = 0;
    for (int i = 0; atMs < END_MS; i++) {
      atMs -= Math.log(1 - random.nextDouble()) * 1_000 / ARRIVALS_PER_S;
      Placing node = nodes.get(random.nextInt(NODES));
      RouteQuery query = RouteQuery.ofService("s", "", "m0", prompt(random, i), Set.of());
      double arrivedMs = atMs;
      at(arrivedMs, () -> send(node, engines, query, arrivedMs, firstTokens));
    }
    long startMs = clock.nowMs();
    while (!events.isEmpty()) {
      Event next = events.remove();
      clock.advance(Math.max(0, startMs + (long) next.atMs() - clock.nowMs()));
      next.action().run();
    }
    double mean = firstTokens.stream().mapToDouble(t -> t).average().orElse(Double.NaN);
    long inTime = firstTokens.stream().filter(t -> t <= OBJECTIVE_MS).count();
    return new Served(mean, (double) inTime / firstTokens.size());
  }

  private void send(
      Placing node,
      List<Engine> engines,
      RouteQuery query,
      double nowMs,
      List<Double> firstTokens) {
    int at = node.choose(query);
    EndpointUse use = node.use(at, query);
    use.started(100);
    Engine engine = engines.get(at);
    engine.waiting++;
    double firstMs = engine.read(nowMs, query.prompt());
    at(
        firstMs,
        () -> {
          engine.waiting--;
          engine.running++;
          long tookMs = (long) (firstMs - nowMs);
          use.answering(tookMs);
          node.onLoad(new EndpointLoad("e" + at, engine.running, engine.waiting, 0, clock.nowMs()));
          if (nowMs >= WARM_MS) {
            firstTokens.add(firstMs - nowMs);
          }
        });
    at(
        firstMs + WRITING_MS,
        () -> {
          engine.running--;
          long tookMs = (long) (firstMs - nowMs);
          use.finished(new CallResult(true, false, tookMs, tookMs + WRITING_MS));
        });
  }

  private Placing expectedWait(long seed) {
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
    return new Placing() {
      @Override
      public int choose(RouteQuery query) {
        return Integer.parseInt(chooser.choose(query).orElseThrow().getId().substring(1));
      }

      @Override
      public EndpointUse use(int engine, RouteQuery query) {
        return chooser.use("e" + engine, query);
      }

      @Override
      public void onLoad(EndpointLoad load) {
        chooser.onLoad(load);
      }
    };
  }

  private static Placing roundRobin() {
    int[] next = {0};
    return query -> next[0]++ % ENGINES;
  }

  /** Takes the one with the fewest requests in flight among some at random, as this node counts. */
  private static Placing leastInFlight(int among, long seed) {
    int[] inFlight = new int[ENGINES];
    Random random = new Random(seed);
    return new Placing() {
      @Override
      public int choose(RouteQuery query) {
        int best =
            random
                .ints(among == ENGINES ? 4 * ENGINES : among, 0, ENGINES)
                .boxed()
                .min(Comparator.comparingInt(i -> inFlight[i]))
                .orElseThrow();
        inFlight[best]++;
        return best;
      }

      @Override
      public void ended(int engine) {
        inFlight[engine]--;
      }
    };
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void sharedPromptPartsAreReadOnceAndCallersGetTheirFirstTokenSooner(long seed) {
    Map<String, Served> served = new LinkedHashMap<>();
    served.put("expected wait", play(() -> expectedWait(seed), seed));
    served.put("round robin", play(PlacingLoadTest::roundRobin, seed));
    served.put("least in flight", play(() -> leastInFlight(ENGINES, seed), seed));
    served.put("two choices", play(() -> leastInFlight(2, seed), seed));
    Served own = served.get("expected wait");
    assertThat(own).isNotNull();
    served.forEach(
        (name, other) -> {
          assertWithMessage("%s in %s", name, served).that(own.meanMs()).isAtMost(other.meanMs());
          assertWithMessage("%s in %s", name, served).that(own.inTime()).isAtLeast(other.inTime());
        });
  }
}
