package org.currantslip.core.ledger;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.currantslip.core.fake.FakeObjectStore.Call;
import org.currantslip.core.fake.FaultTable;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.core.ledger.LedgerCluster.Attempt;
import org.currantslip.schema.PeerFrame;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Injects each fault at each step of an at-most-once request. */
final class LedgerFaultMatrixTest {
  private static final String ORIGIN = "n0";
  private static final long RUN_MS = 500;
  private static final long FAULT_MS = 20_000;
  private static final long LATER_MS = 40_000;

  /** A step of a request, identified by its store call or peer frame. */
  private enum Step {
    FORWARD_INTENT(null, ""),
    READ_SNAPSHOT(Call.GET, "snapshot"),
    LIST_SEGMENTS(Call.LIST, ""),
    CREATE_INTENT(Call.CREATE, ""),
    CONFIRM_INTENT(Call.GET, "snapshot"),
    INTENT_VERDICT(null, ""),
    WHILE_RUNNING(null, ""),
    FORWARD_OUTCOME(null, ""),
    CREATE_OUTCOME(Call.CREATE, ""),
    CONFIRM_OUTCOME(Call.GET, "snapshot"),
    OUTCOME_VERDICT(null, "");

    private final @Nullable Call call;
    private final String name;

    Step(@Nullable Call call, String name) {
      this.call = call;
      this.name = name;
    }
  }

  /** Faults of nodes and links; {@link StoreFault} has the faults of the store. */
  private enum NodeFault {
    KILL_ORIGIN,
    FREEZE_ORIGIN,
    CUT_ORIGIN_FROM_STORE,
    KILL_WRITER,
    FREEZE_WRITER,
    CUT_WRITER_FROM_STORE,
    CUT_LINK,
    STORE_OUT
  }

  /** One cell of the matrix: a scenario and the step at which the fault is injected. */
  private static final class Cell {
    private final LedgerCluster cluster = LedgerCluster.of(3);
    private final Step step;
    private final StoreFault storeFault;
    private final @Nullable NodeFault nodeFault;
    private final LedgerCluster.Node origin = cluster.node(ORIGIN);
    private final SlotHints hints = SlotHints.create(origin.membership, cluster.clock);
    private final int slot = forwardedSlot();
    private final LedgerCluster.Node writer = cluster.node(hints.preferredWriter(slot));
    private final String thirdNode = findThirdNode();
    private final Map<Call, Integer> calls = new TreeMap<>();
    private boolean faultTriggered;
    private int appends;
    private int replies;

    private Cell(Step step, StoreFault storeFault, @Nullable NodeFault nodeFault) {
      this.step = step;
      this.storeFault = storeFault;
      this.nodeFault = nodeFault;
      cluster.runMs = RUN_MS;
      cluster.store.setFaultPlan(this::onCall);
      cluster.network.setLossPlan(this::onFrame);
    }

    private StoreFault onCall(Call call, String name) {
      if (!name.startsWith("ledger/")) {
        return StoreFault.NONE;
      }
      int n = calls.merge(call, 1, Integer::sum);
      boolean here =
          switch (step) {
            case READ_SNAPSHOT, LIST_SEGMENTS, CREATE_INTENT -> call == step.call && n == 1;
            case CONFIRM_INTENT -> call == step.call && n == 3;
            case CREATE_OUTCOME -> call == step.call && n == 2;
            case CONFIRM_OUTCOME -> call == step.call && n == 4;
            default -> false;
          };
      return here && name.contains(step.name) && triggerFault() ? storeFault : StoreFault.NONE;
    }

    private boolean onFrame(String from, String to, PeerFrame frame) {
      boolean here = false;
      if (frame.hasLedgerAppend()) {
        appends++;
        here = appends == 1 ? step == Step.FORWARD_INTENT : step == Step.FORWARD_OUTCOME;
      } else if (frame.hasLedgerAppendReply()) {
        replies++;
        here = replies == 1 ? step == Step.INTENT_VERDICT : step == Step.OUTCOME_VERDICT;
      }
      return here && triggerFault() && nodeFault == null;
    }

    /** Triggers the fault; returns false if it was already triggered. */
    private boolean triggerFault() {
      if (faultTriggered) {
        return false;
      }
      faultTriggered = true;
      if (nodeFault != null) {
        cluster.events.after(0, () -> apply(nodeFault));
      }
      return true;
    }

    private void apply(NodeFault fault) {
      switch (fault) {
        case KILL_ORIGIN -> cluster.kill(ORIGIN);
        case FREEZE_ORIGIN -> cluster.freeze(ORIGIN);
        case CUT_ORIGIN_FROM_STORE -> origin.link.setCut(true);
        case KILL_WRITER -> cluster.kill(writer.name());
        case FREEZE_WRITER -> cluster.freeze(writer.name());
        case CUT_WRITER_FROM_STORE -> cluster.node(writer.name()).link.setCut(true);
        case CUT_LINK -> cluster.network.setCut(ORIGIN, writer.name(), true);
        case STORE_OUT -> cluster.store.setUnavailable(true);
        default -> throw new AssertionError(fault);
      }
    }

    private void heal() {
      cluster.store.setUnavailable(false);
      cluster.network.setCut(ORIGIN, writer.name(), false);
      for (LedgerCluster.Node node : List.copyOf(cluster.nodes.values())) {
        node.link.setCut(false);
        if (node.frozen) {
          cluster.thaw(node.name());
        }
      }
    }

    private String run() {
      LedgerKey key = cluster.keyIn(slot, "k");
      final Attempt first = cluster.send(ORIGIN, key, "body", true);
      if (step == Step.WHILE_RUNNING) {
        cluster.events.after(RUN_MS / 2, this::triggerFault);
      }
      cluster.run(FAULT_MS);
      assertWithMessage("%s was not reached", step).that(faultTriggered).isTrue();
      if (origin.frozen || origin.dead || cluster.nodes.size() < 3) {
        cluster.declareGone(origin.dead || origin.frozen ? origin : writer);
      }
      final Attempt during = cluster.send(thirdNode, key, "body", first.gotNotRun);
      cluster.run(FAULT_MS);
      heal();
      cluster.run(LATER_MS);
      final Attempt after =
          cluster.send(thirdNode, key, "body", first.gotNotRun && during.gotNotRun);
      cluster.run(LATER_MS);
      cluster.checkReplays();
      assertThat(cluster.violations).isEmpty();
      assertThat(during.ended).isTrue();
      assertThat(after.ended).isTrue();
      assertThat(first.ended || origin.dead).isTrue();
      return cluster.runCount(key)
          + " "
          + resultOf(first)
          + " "
          + resultOf(during)
          + " "
          + resultOf(after);
    }

    /** Returns a slot whose preferred writer is not the origin. */
    private int forwardedSlot() {
      return IntStream.range(0, LedgerNames.SLOT_COUNT)
          .filter(s -> !hints.preferredWriter(s).equals(ORIGIN))
          .findFirst()
          .orElseThrow();
    }

    private String findThirdNode() {
      return cluster.nodes.keySet().stream()
          .filter(n -> !n.equals(ORIGIN) && !n.equals(writer.name()))
          .findFirst()
          .orElseThrow();
    }

    private static String resultOf(Attempt attempt) {
      if (attempt.refusal != null) {
        return attempt.refusal.code().number() + attempt.refusal.ran().text().substring(0, 1);
      }
      if (!attempt.ended) {
        return "lost";
      }
      return attempt.answer == null ? "no" : attempt.replayed ? "replay" : "ran";
    }
  }

  @Test
  void everyFaultAtEveryStep() {
    FaultTable table =
        FaultTable.of(
            "executions; results of the first attempt, one during the fault, one after it");
    for (Step step : Step.values()) {
      for (NodeFault fault : NodeFault.values()) {
        String result = new Cell(step, StoreFault.NONE, fault).run();
        table.put(fault.name(), step.name(), result);
      }
      for (StoreFault fault : StoreFault.values()) {
        boolean frameStep = step.call == null;
        boolean lost = fault == StoreFault.LOST_CALL;
        if (fault != StoreFault.NONE && (!frameStep || (lost && step != Step.WHILE_RUNNING))) {
          table.put(fault.name(), step.name(), new Cell(step, fault, null).run());
        } else if (fault != StoreFault.NONE) {
          table.put(fault.name(), step.name(), "no store call");
        }
      }
    }
    System.out.println(table.toText());
    assertThat(table.emptyCells()).isEqualTo(0);
  }
}
