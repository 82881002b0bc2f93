package org.currantslip.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Random faults, two at a time, while callers send and send again through random nodes. */
final class RequestPropertyTest {
  private static final int NODES = 5;
  private static final int CALLERS = 6;
  private static final int ROUNDS = 8;
  private static final int SENDINGS = 4;
  private static final long HEALING_MS = 15_000;

  private record Active(RequestFault fault, String node) {}

  @Property(tries = 60, seed = "20261203", shrinking = ShrinkingMode.OFF)
  void whatMustHoldHoldsUnderRandomFaults(@ForAll long seed) {
    Random random = new Random(seed);
    Fleet fleet = new Fleet(NODES);
    fleet.run(1_000);
    List<FleetCaller> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(fleet.caller("caller-" + i, i % 2 == 0));
    }
    List<Active> active = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      disturb(fleet, random, active);
      callers.forEach(c -> sendMaybe(fleet, c, random));
      fleet.run(random.nextInt(3_000));
    }
    active.forEach(a -> a.fault().stop(fleet, a.node()));
    fleet.run(HEALING_MS);
    callers.forEach(c -> c.send(livingNode(fleet, random)));
    fleet.finish();
    assertThat(fleet.checks.violations).isEmpty();
  }

  private static void disturb(Fleet fleet, Random random, List<Active> active) {
    if (active.size() >= 2) {
      Active old = active.remove(0);
      old.fault().stop(fleet, old.node());
    }
    RequestFault[] faults = RequestFault.values();
    RequestFault next = faults[random.nextInt(faults.length)];
    String node = livingNode(fleet, random).name();
    boolean lastOnes = fleet.nodes.values().stream().filter(n -> !n.isDead()).count() <= 3;
    if (next == RequestFault.NODE_KILLED && lastOnes) {
      return;
    }
    next.start(fleet, node);
    active.add(new Active(next, node));
  }

  private static void sendMaybe(Fleet fleet, FleetCaller caller, Random random) {
    boolean waiting = !caller.sendings.isEmpty() && !caller.last().isGivenUp();
    if (!waiting && caller.sendings.size() < SENDINGS && random.nextBoolean()) {
      caller.send(livingNode(fleet, random));
    }
  }

  private static FleetNode livingNode(Fleet fleet, Random random) {
    List<FleetNode> living = fleet.nodes.values().stream().filter(n -> !n.isDead()).toList();
    return living.get(random.nextInt(living.size()));
  }
}
