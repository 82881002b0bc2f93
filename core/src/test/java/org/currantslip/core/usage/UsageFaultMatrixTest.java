package org.currantslip.core.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.currantslip.core.fake.FakeObjectStore.Call;
import org.currantslip.core.fake.FaultTable;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.schema.PeerFrame;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Injects each fault at each step from adding a usage record to storing it. */
final class UsageFaultMatrixTest {
  private static final String OWNER = "n0";
  private static final long FAULT_MS = 30_000;
  private static final long HEALED_MS = 60_000;

  private enum Step {
    FIRST_COPY,
    SECOND_COPY,
    FIRST_ACK,
    SECOND_ACK,
    CREATE_BATCH,
    RELEASE
  }

  private enum NodeFault {
    KILL_OWNER,
    FREEZE_OWNER,
    ADOPT_LIVE_OWNER,
    CUT_OWNER_FROM_STORE,
    KILL_HOLDER,
    FREEZE_HOLDER,
    STORE_OUT
  }

  private static final class Cell {
    private final UsageCluster cluster = UsageCluster.of(6);
    private final UsageCluster.Node owner = cluster.node(OWNER);
    private final Step step;
    private final StoreFault storeFault;
    private final @Nullable NodeFault nodeFault;
    private String holder = "";
    private boolean faultTriggered;
    private int copies;
    private int acks;

    private Cell(Step step, StoreFault storeFault, @Nullable NodeFault nodeFault) {
      this.step = step;
      this.storeFault = storeFault;
      this.nodeFault = nodeFault;
      cluster.store.setFaultPlan(this::onCall);
      cluster.network.setLossPlan(this::onFrame);
    }

    private StoreFault onCall(Call call, String name) {
      boolean atStep = step == Step.CREATE_BATCH && call == Call.CREATE;
      return atStep && triggerFault() ? storeFault : StoreFault.NONE;
    }

    private boolean onFrame(String from, String to, PeerFrame frame) {
      boolean atStep = false;
      if (frame.hasUsageCopy()) {
        holder = to;
        copies++;
        atStep = copies == 1 ? step == Step.FIRST_COPY : step == Step.SECOND_COPY;
      } else if (frame.hasUsageCopyAck()) {
        acks++;
        atStep = acks == 1 ? step == Step.FIRST_ACK : step == Step.SECOND_ACK;
      } else if (frame.hasUsageRelease()) {
        atStep = step == Step.RELEASE;
      }
      return atStep && triggerFault() && nodeFault == null;
    }

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
        case KILL_OWNER -> cluster.kill(OWNER);
        case FREEZE_OWNER -> cluster.freeze(OWNER);
        case ADOPT_LIVE_OWNER -> cluster.declareGone(owner.record.getId());
        case CUT_OWNER_FROM_STORE -> owner.link.setCut(true);
        case KILL_HOLDER -> cluster.kill(holder);
        case FREEZE_HOLDER -> cluster.freeze(holder);
        case STORE_OUT -> cluster.store.setUnavailable(true);
        default -> throw new AssertionError(fault);
      }
    }

    private String run() {
      cluster.request(OWNER);
      cluster.run(FAULT_MS);
      assertWithMessage("%s was not reached", step).that(faultTriggered).isTrue();
      cluster.dead.forEach(cluster::declareGone);
      if (owner.frozen) {
        cluster.declareGone(owner.record.getId());
      }
      cluster.run(FAULT_MS);
      cluster.store.setUnavailable(false);
      owner.link.setCut(false);
      List.copyOf(cluster.nodes.values()).stream()
          .filter(n -> n.frozen)
          .forEach(n -> cluster.thaw(n.name()));
      cluster.run(HEALED_MS);
      List<String> billed = cluster.billed();
      assertThat(billed).containsNoDuplicates();
      assertThat(billed).containsAtLeastElementsIn(cluster.answered);
      return cluster.answered.size() + " answered, " + billed.size() + " billed";
    }
  }

  @Test
  void everyFaultAtEveryStep() {
    FaultTable table = FaultTable.of("answers sent and usage records stored for one request");
    for (Step step : Step.values()) {
      for (NodeFault fault : NodeFault.values()) {
        table.put(fault.name(), step.name(), new Cell(step, StoreFault.NONE, fault).run());
      }
      for (StoreFault fault : StoreFault.values()) {
        boolean applies = step == Step.CREATE_BATCH || fault == StoreFault.LOST_CALL;
        if (fault != StoreFault.NONE) {
          String result = applies ? new Cell(step, fault, null).run() : "no store call";
          table.put(fault.name(), step.name(), result);
        }
      }
    }
    System.out.println(table.toText());
    assertThat(table.emptyCells()).isEqualTo(0);
  }
}
