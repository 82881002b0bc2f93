package org.currantslip.core.usage;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.schema.NodeId;

/**
 * Random schedules of requests, kills, freezes, wrong membership and store faults. The interval
 * between kills is long enough to replace the copies that a dead peer held.
 */
final class PeerUsageSpoolPropertyTest {
  private static final int NODES = 6;
  private static final int STEPS = 150;
  private static final long RECOPY_MS = 12_000;
  private static final long SETTLE_MS = 90_000;

  private static final class Schedule {
    private final Random random;
    private final UsageCluster cluster = UsageCluster.of(NODES);
    private long nextKillMs;

    private Schedule(long seed) {
      random = new Random(seed);
      cluster.store.setFaultPlan(FakeObjectStore.randomFaults(seed, 0.08));
      cluster.network.setLossPlan((from, to, frame) -> random.nextInt(100) < 3);
    }

    private UsageCluster.Node anyNode() {
      List<UsageCluster.Node> all = List.copyOf(cluster.nodes.values());
      return all.get(random.nextInt(all.size()));
    }

    private void step() {
      UsageCluster.Node node = anyNode();
      switch (random.nextInt(12)) {
        case 0 -> killAndRestart(node);
        case 1 -> cluster.declareGone(node.record.getId());
        case 2 -> cluster.store.setUnavailable(random.nextInt(3) == 0);
        case 3 -> node.link.setCut(random.nextInt(3) == 0);
        case 4 -> toggleFreeze(node);
        case 5 -> anyNode().membership.add(node.record);
        default -> {
          if (!node.frozen) {
            cluster.request(node.name());
          }
        }
      }
      cluster.run(random.nextInt(6) == 0 ? random.nextInt(6_000) : random.nextInt(200));
    }

    private void killAndRestart(UsageCluster.Node node) {
      boolean anyFrozen = cluster.nodes.values().stream().anyMatch(n -> n.frozen);
      if (anyFrozen || cluster.clock.nowMs() < nextKillMs) {
        return;
      }
      nextKillMs = cluster.clock.nowMs() + RECOPY_MS;
      cluster.kill(node.name());
      cluster.run(random.nextInt(2_000));
      cluster.declareGone(node.record.getId());
      cluster.start(node.name());
    }

    private void toggleFreeze(UsageCluster.Node node) {
      if (node.frozen) {
        cluster.thaw(node.name());
        nextKillMs = Math.max(nextKillMs, cluster.clock.nowMs() + RECOPY_MS);
      } else {
        cluster.freeze(node.name());
      }
    }

    private void heal() {
      cluster.store.setFaultPlan(FakeObjectStore.randomFaults(0, 0));
      cluster.store.setUnavailable(false);
      cluster.network.setLossPlan((from, to, frame) -> false);
      for (UsageCluster.Node a : cluster.nodes.values()) {
        a.link.setCut(false);
        cluster.nodes.values().forEach(b -> a.membership.add(b.record));
        if (a.frozen) {
          cluster.thaw(a.name());
        }
      }
      for (NodeId id : cluster.dead) {
        cluster.declareGone(id);
      }
      cluster.run(SETTLE_MS);
    }
  }

  @Property(tries = 100, seed = "20261203", shrinking = ShrinkingMode.OFF)
  void eachAnsweredRequestIsBilledOnce(@ForAll long seed) {
    Schedule schedule = new Schedule(seed);
    UsageCluster cluster = schedule.cluster;
    for (int i = 0; i < STEPS; i++) {
      schedule.step();
    }
    schedule.heal();
    List<String> billed = cluster.billed();
    assertWithMessage("seed %s", seed).that(billed).containsNoDuplicates();
    assertWithMessage("seed %s", seed).that(billed).containsAtLeastElementsIn(cluster.answered);
    assertWithMessage("seed %s", seed).that(cluster.added).containsAtLeastElementsIn(billed);
  }
}
