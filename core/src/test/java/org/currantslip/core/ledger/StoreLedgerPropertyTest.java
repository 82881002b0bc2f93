package org.currantslip.core.ledger;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.currantslip.core.common.Ran;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.ledger.LedgerCluster.Attempt;
import org.currantslip.core.ledger.LedgerCluster.Node;

/** Random schedules of requests, faults, freezes, restarts and wrong membership on four nodes. */
final class StoreLedgerPropertyTest {
  private static final int NODES = 4;
  private static final int KEYS = 6;
  private static final int STEPS = 120;
  private static final long[] DISPATCH_MS = {0, 2, 15, 400, 2_500, 6_000};
  private static final long SETTLE_MS = 40_000;

  private static final class Schedule {
    private final Random random;
    private final LedgerCluster cluster =
        LedgerCluster.of(NODES, LedgerOptions.defaults().withCompactionThreshold(5));

    private Schedule(long seed) {
      random = new Random(seed);
      cluster.store.setFaultPlan(FakeObjectStore.randomFaults(seed, 0.06));
      cluster.network.setLossPlan((from, to, frame) -> random.nextInt(100) < 4);
    }

    private Node anyNode() {
      List<Node> all = List.copyOf(cluster.nodes.values());
      return all.get(random.nextInt(all.size()));
    }

    private void step() {
      switch (random.nextInt(16)) {
        case 0 -> toggleFreeze(anyNode());
        case 1 -> cluster.declareGone(anyNode());
        case 2 -> cluster.start(anyNode().name());
        case 3 -> cluster.store.setUnavailable(random.nextInt(3) == 0);
        case 4 -> cluster.node(anyNode().name()).link.setCut(random.nextInt(3) == 0);
        case 5 -> anyNode().membership.suspect(anyNode().name());
        case 6 -> anyNode().membership.add(anyNode().record);
        case 7 -> cluster.network.setCut(anyNode().name(), anyNode().name(), random.nextBoolean());
        case 8 -> cluster.dispatchMs = DISPATCH_MS[random.nextInt(DISPATCH_MS.length)];
        case 9 -> cluster.runMs = random.nextInt(4) == 0 ? 4_000 : random.nextInt(100);
        case 10 -> cluster.store.setLatencyMs(random.nextInt(5) == 0 ? 700 : 5);
        default -> send();
      }
      cluster.run(random.nextInt(5) == 0 ? random.nextInt(8_000) : random.nextInt(120));
    }

    private void send() {
      Node node = anyNode();
      if (!node.frozen) {
        LedgerKey key = LedgerCluster.key("k" + random.nextInt(KEYS));
        cluster.send(node.name(), key, "body", mayClaimFirst(key));
      }
    }

    /** A caller may claim a first attempt only if every earlier attempt got ran=no. */
    private boolean mayClaimFirst(LedgerKey key) {
      return cluster.attempts.stream().filter(a -> a.key.equals(key)).allMatch(a -> a.gotNotRun);
    }

    private void toggleFreeze(Node node) {
      if (node.frozen) {
        cluster.thaw(node.name());
      } else {
        cluster.freeze(node.name());
      }
    }

    private void heal() {
      cluster.store.setFaultPlan(FakeObjectStore.randomFaults(0, 0));
      cluster.store.setUnavailable(false);
      cluster.store.setLatencyMs(5);
      cluster.network.setLossPlan((from, to, frame) -> false);
      cluster.dispatchMs = 2;
      cluster.runMs = 30;
      for (Node a : cluster.nodes.values()) {
        a.link.setCut(false);
        cluster.nodes.values().forEach(b -> a.membership.add(b.record));
        cluster.nodes.values().forEach(b -> cluster.network.setCut(a.name(), b.name(), false));
        if (a.frozen) {
          cluster.thaw(a.name());
        }
      }
      cluster.run(SETTLE_MS);
    }
  }

  @Property(tries = 150, seed = "20261203", shrinking = ShrinkingMode.OFF)
  void noKeyRunsTwiceAndRefusalsAreTruthful(@ForAll long seed) {
    Schedule schedule = new Schedule(seed);
    LedgerCluster cluster = schedule.cluster;
    for (int i = 0; i < STEPS; i++) {
      schedule.step();
    }
    schedule.heal();
    for (int k = 0; k < KEYS; k++) {
      for (Node node : List.copyOf(cluster.nodes.values())) {
        cluster.send(node.name(), LedgerCluster.key("k" + k), "body", false);
        cluster.run(1_000);
      }
    }
    cluster.run(SETTLE_MS);
    cluster.checkReplays();
    checkCompletion(cluster);
    assertWithMessage("seed %s", seed).that(cluster.violations).isEmpty();
  }

  /** Checks that attempts on live nodes have ended and that repeated attempts never get ran=no. */
  private static void checkCompletion(LedgerCluster cluster) {
    for (Attempt a : cluster.attempts) {
      boolean lost = a.node.dead;
      if (!lost && !a.ended) {
        cluster.violations.add(a.requestId + " never ended");
      }
      if (!a.first && a.refusal != null && a.refusal.ran() == Ran.NO) {
        cluster.violations.add(a.requestId + " got ran=no for a key that was sent before");
      }
    }
  }
}
