package org.currantslip.core.allowance;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.schema.AllowanceReport;
import org.currantslip.schema.RestrictionReport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a slot that two nodes use at once, in random orders of messages that are late or
 * lost, of pauses, and of a keeper that dies.
 */
final class SlotLoanOrderTest {
  private static final String ENDPOINT = "e";
  private static final int SLOTS = 2;
  private static final int NODES = 5;
  private static final long MAX_WORK_MS = 500;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final List<Node> nodes = new ArrayList<>();
  private final List<Long> runningUntilMs = new ArrayList<>();
  private Random random = new Random(0);
  private String first = "n0";
  private long changedMs;
  private int started;

  private record Message(String from, AllowanceReport report) {}

  private final class Node implements AllowanceLinks, SenderPlaces {
    private final String name;
    private final Deque<Message> inbox = new ArrayDeque<>();
    private final List<Long> useUntilMs = new ArrayList<>();
    private final SlotLoans loans;
    private long pausedUntilMs;
    private boolean dead;
    private int waiting;

    private Node(String name) {
      this.name = name;
      loans = SlotLoans.create(this, id -> SLOTS, new SplittableRandom(random.nextLong()));
      loans.connect(this);
    }

    private void step() {
      long nowMs = clock.nowMs();
      if (dead || nowMs < pausedUntilMs) {
        return;
      }
      // Messages wait at random, so that some are seconds old.
      while (!inbox.isEmpty() && random.nextInt(4) > 0) {
        Message message = inbox.remove();
        loans.onReport(message.from(), message.report(), nowMs);
      }
      useUntilMs.removeIf(
          untilMs -> {
            if (untilMs <= nowMs) {
              loans.onEnded(ENDPOINT, "s", nowMs);
            }
            return untilMs <= nowMs;
          });
      waiting = random.nextInt(3);
      loans.setDemand("s", List.of(ENDPOINT), nowMs);
      loans.tick(nowMs);
      if (waiting > 0 && loans.free(ENDPOINT, nowMs) > 0) {
        assertWithMessage("slot").that(loans.onSent(ENDPOINT)).isTrue();
        long untilMs = nowMs + 1 + random.nextInt((int) MAX_WORK_MS);
        useUntilMs.add(untilMs);
        runningUntilMs.add(untilMs);
        started++;
      }
    }

    @Override
    public String selfName() {
      return name;
    }

    @Override
    public void send(String node, AllowanceReport report) {
      boolean lost = random.nextInt(20) == 0;
      if (!lost) {
        nodes.stream()
            .filter(n -> n.name.equals(node))
            .forEach(n -> n.inbox.add(new Message(name, report)));
      }
    }

    @Override
    public void sendToOthers(AllowanceReport report) {}

    @Override
    public void sendToOthers(RestrictionReport report) {}

    @Override
    public int waiting(String service) {
      return waiting;
    }

    @Override
    public void onRoom() {}

    @Override
    public int placeOf(String endpointId) {
      return name.equals(first) ? 0 : 1;
    }

    @Override
    public Optional<String> first(String endpointId) {
      return Optional.of(first);
    }

    @Override
    public int count() {
      return NODES;
    }

    @Override
    public long changedMs() {
      return changedMs;
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void noSlotIsUsedByTwoNodes(long seed) {
    random = new Random(seed);
    changedMs = clock.nowMs();
    IntStream.range(0, NODES).forEach(i -> nodes.add(new Node("n" + i)));
    for (int i = 0; i < 3_000; i++) {
      clock.advance(1 + random.nextInt(40));
      if (random.nextInt(150) == 0) {
        nodes.get(random.nextInt(NODES)).pausedUntilMs = clock.nowMs() + random.nextInt(5_000);
      }
      if (i == 1_500) {
        nodes.get(0).dead = true;
        first = "n1";
        changedMs = clock.nowMs();
      }
      nodes.forEach(Node::step);
      long nowMs = clock.nowMs();
      runningUntilMs.removeIf(untilMs -> untilMs <= nowMs);
      assertWithMessage("step %s", i).that(runningUntilMs.size()).isAtMost(SLOTS);
    }
    assertWithMessage("requests started").that(started).isAtLeast(50);
  }
}
