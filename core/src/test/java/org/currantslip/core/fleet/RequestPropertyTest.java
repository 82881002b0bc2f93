package org.currantslip.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Up to two random faults at a time, while callers send and retry requests on random nodes. */
final class RequestPropertyTest {
  private static final int NODES = 5;
  private static final int CALLERS = 6;
  private static final int ROUNDS = 8;
  private static final int MAX_ATTEMPTS = 4;
  private static final long RECOVERY_MS = 15_000;

  private record ActiveFault(RequestFault fault, String node) {}

  @Property(tries = 60, seed = "20261203", shrinking = ShrinkingMode.OFF)
  void invariantsHoldUnderRandomFaults(@ForAll long seed) {
    Random random = new Random(seed);
    Fleet fleet = new Fleet(NODES);
    fleet.run(1_000);
    List<FleetCaller> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(fleet.caller("caller-" + i, i % 2 == 0));
    }
    List<ActiveFault> active = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      injectFault(fleet, random, active);
      callers.forEach(c -> maybeSend(fleet, c, random));
      fleet.run(random.nextInt(3_000));
    }
    active.forEach(a -> a.fault().stop(fleet, a.node()));
    fleet.run(RECOVERY_MS);
    callers.forEach(c -> c.send(liveNode(fleet, random)));
    fleet.finish();
    assertThat(fleet.checks.violations).isEmpty();
  }

  private static void injectFault(Fleet fleet, Random random, List<ActiveFault> active) {
    if (active.size() >= 2) {
      ActiveFault old = active.remove(0);
      old.fault().stop(fleet, old.node());
    }
    RequestFault[] faults = RequestFault.values();
    RequestFault next = faults[random.nextInt(faults.length)];
    String node = liveNode(fleet, random).name();
    boolean fewNodesLeft = fleet.nodes.values().stream().filter(n -> !n.isDead()).count() <= 3;
    if (next == RequestFault.NODE_KILLED && fewNodesLeft) {
      return;
    }
    next.start(fleet, node);
    active.add(new ActiveFault(next, node));
  }

  private static void maybeSend(Fleet fleet, FleetCaller caller, Random random) {
    boolean waiting = !caller.attempts.isEmpty() && !caller.last().isFinished();
    if (!waiting && caller.attempts.size() < MAX_ATTEMPTS && random.nextBoolean()) {
      caller.send(liveNode(fleet, random));
    }
  }

  private static FleetNode liveNode(Fleet fleet, Random random) {
    List<FleetNode> liveNodes = fleet.nodes.values().stream().filter(n -> !n.isDead()).toList();
    return liveNodes.get(random.nextInt(liveNodes.size()));
  }
}
