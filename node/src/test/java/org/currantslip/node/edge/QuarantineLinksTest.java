package org.currantslip.node.edge;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PartVerdict;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.QuarantineUpdate;
import org.junit.jupiter.api.Test;

/** Tests how verdicts on prompt parts reach the other nodes. */
final class QuarantineLinksTest {
  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final List<String> receivers = new ArrayList<>();
  private final List<PeerFrame> frames = new ArrayList<>();
  private final QuarantineLinks links =
      QuarantineLinks.create(new ThreeNodes(), new RecordingNetwork(), clock, 1);
  private final PromptQuarantine quarantine = PromptQuarantine.create(clock, links);

  private static QuarantineUpdate verdict() {
    return QuarantineUpdate.newBuilder()
        .addVerdict(PartVerdict.newBuilder().setService("s").setPart("p").setQuarantined(true))
        .build();
  }

  /** Learns a verdict, and forgets what the quarantine sends at once. */
  private void learnVerdict() {
    quarantine.onUpdate("n1", verdict());
    receivers.clear();
    frames.clear();
  }

  @Test
  void verdictGoesToAllOtherNodes() {
    links.sendToAll(verdict());
    assertThat(receivers).containsExactly("n1", "n2");
    assertThat(frames.get(0).getQuarantine()).isEqualTo(verdict());
  }

  @Test
  void nodeGetsTheVerdictsWhenItsLinkOpens() {
    links.onLink("n2", quarantine);
    assertThat(receivers).isEmpty();
    learnVerdict();
    clock.advance(3_600_000);
    links.onLink("n2", quarantine);
    assertThat(receivers).containsExactly("n2");
    assertThat(frames.get(0).getQuarantine().getVerdict(0).getPart()).isEqualTo("p");
    assertThat(frames.get(0).getQuarantine().getVerdict(0).getAgeMs()).isEqualTo(3_600_000);
  }

  @Test
  void nodeThatMissedVerdictGetsItWhileItsLinksStayOpen() {
    learnVerdict();
    for (int i = 0; i < 600; i++) {
      links.tick(quarantine);
      clock.advance(100);
    }
    assertThat(receivers).contains("n1");
    assertThat(receivers).contains("n2");
    assertThat(receivers.size()).isAtMost(30);
  }

  private final class RecordingNetwork implements PeerNetwork {
    @Override
    public void send(String node, PeerFrame frame) {
      receivers.add(node);
      frames.add(frame);
    }

    @Override
    public CompletableFuture<PeerFrame> request(String node, PeerFrame request, long timeoutMs) {
      throw new UnsupportedOperationException();
    }
  }

  private static final class ThreeNodes implements Membership {
    private static NodeRecord node(String name) {
      return NodeRecord.newBuilder().setId(NodeId.newBuilder().setName(name)).build();
    }

    @Override
    public NodeRecord self() {
      return node("n0");
    }

    @Override
    public List<NodeRecord> live() {
      return List.of(node("n0"), node("n1"), node("n2"));
    }

    @Override
    public List<NodeRecord> entryNodes() {
      return live();
    }

    @Override
    public Optional<NodeRecord> find(String name) {
      return live().stream().filter(n -> n.getId().getName().equals(name)).findFirst();
    }

    @Override
    public boolean isGone(NodeId id) {
      return false;
    }
  }
}
