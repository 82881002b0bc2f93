package org.currantslip.core.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FakeObjectStore.Call;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.core.ledger.LedgerCluster.Attempt;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerSegment;
import org.currantslip.schema.NodeId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SlotCompactionTest {
  private static final int SLOT = 1;
  private static final String SEGMENTS = "ledger/01/0";
  private static final String PARTS = "ledger-parts/01/";
  private static final long SEND_INTERVAL_MS = 400;

  /** Returns two nodes, each of which writes every slot itself. */
  private static LedgerCluster twoWriters(LedgerOptions options) {
    LedgerCluster cluster = LedgerCluster.of(2, options);
    cluster.isolate("n0");
    cluster.isolate("n1");
    return cluster;
  }

  private static List<Attempt> sendMany(LedgerCluster cluster, String node, int count) {
    List<Attempt> sent = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      sent.add(cluster.send(node, cluster.keyIn(SLOT, node + "-" + i), "body", true));
      cluster.run(SEND_INTERVAL_MS);
    }
    return sent;
  }

  private static Attempt sendAgain(LedgerCluster cluster, String node, Attempt earlier) {
    Attempt again = cluster.send(node, earlier.key, "body", false);
    cluster.run(2_000);
    return again;
  }

  @Test
  void compactsAndStillReplaysOldKeys() {
    LedgerCluster cluster = twoWriters(LedgerOptions.defaults());
    final List<Attempt> sent = sendMany(cluster, "n0", 200);
    cluster.run(2_000);
    assertThat(cluster.store.listDirectly(PARTS)).isNotEmpty();
    assertThat(cluster.store.listDirectly(SEGMENTS).size()).isLessThan(200);
    LedgerCluster.Node fresh = cluster.start("n9");
    for (int i = 0; i < sent.size(); i += 20) {
      Attempt again = sendAgain(cluster, fresh.name(), sent.get(i));
      assertThat(again.replayed).isTrue();
    }
    cluster.checkReplays();
    assertThat(cluster.violations).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "CREATE, ledger-parts, NOT_DONE",
    "CREATE, ledger-parts, LOST_ANSWER",
    "CREATE, ledger-parts, LATE_EFFECT",
    "CREATE, ledger-parts, CONFLICT",
    "CREATE, snapshot, NOT_DONE",
    "CREATE, snapshot, LOST_ANSWER",
    "CREATE, snapshot, LATE_EFFECT",
    "CREATE, snapshot, SILENT",
    "UPDATE, snapshot, LOST_ANSWER",
    "UPDATE, snapshot, LATE_EFFECT",
    "UPDATE, snapshot, CONFLICT",
    "DELETE, ledger/, LOST_ANSWER",
    "DELETE, ledger/, LATE_EFFECT",
    "LIST, ledger/, NOT_DONE"
  })
  void compactionFaultsLoseNoKey(Call call, String name, StoreFault fault) {
    LedgerCluster cluster = twoWriters(LedgerOptions.defaults());
    cluster.store.inject(call, name, fault);
    List<Attempt> sent = sendMany(cluster, "n0", 160);
    cluster.run(30_000);
    for (int i = 0; i < sent.size(); i += 16) {
      assertThat(sendAgain(cluster, "n1", sent.get(i)).replayed).isTrue();
    }
    cluster.checkReplays();
    assertThat(cluster.violations).isEmpty();
  }

  /**
   * Another writer created, compacted and deleted the sequence that an idle writer creates next.
   */
  @Test
  void writerDoesNotTrustCreateOfDeletedSequence() {
    LedgerCluster cluster = twoWriters(LedgerOptions.defaults());
    sendMany(cluster, "n1", 1);
    List<Attempt> others = sendMany(cluster, "n0", 150);
    cluster.run(5_000);
    assertThat(cluster.store.listDirectly(PARTS)).isNotEmpty();
    Attempt again = sendAgain(cluster, "n1", others.get(0));
    assertThat(again.dispatched).isFalse();
    assertThat(again.replayed).isTrue();
    assertThat(cluster.violations).isEmpty();
  }

  /** A node with an outdated view reads a stale segment that the snapshot already covers. */
  @Test
  void readerDoesNotTrustStaleSegment() {
    LedgerCluster cluster = twoWriters(LedgerOptions.defaults());
    sendMany(cluster, "n1", 1);
    long next = cluster.store.listDirectly(SEGMENTS).size() + 1;
    sendMany(cluster, "n0", 150);
    cluster.run(5_000);
    LedgerKey key = cluster.keyIn(SLOT, "stale");
    LedgerIntent intent =
        LedgerIntent.newBuilder()
            .setAccount(key.account())
            .setKey(key.key())
            .setBodyHash(ByteString.copyFromUtf8("body"))
            .setIssuedMs(key.issuedMs())
            .setRequestId("stale")
            .setWriter(NodeId.newBuilder().setName("removed-node"))
            .build();
    LedgerSegment stale =
        LedgerSegment.newBuilder().setSlot(SLOT).setSequence(next).addIntent(intent).build();
    cluster.store.putDirectly(LedgerNames.segment(SLOT, next), stale.toByteString());
    Attempt attempt = cluster.send("n1", key, "body", true);
    cluster.run(5_000);
    assertThat(attempt.dispatched).isTrue();
    assertThat(cluster.violations).isEmpty();
  }

  /** One node has removed a key that is still within the key window of another node. */
  @Test
  void keyRemovedByOneNodeIsExpiredOnAnother() {
    LedgerOptions options = LedgerOptions.defaults();
    LedgerCluster cluster =
        LedgerCluster.of(1, options.withWindowAndStoreTimeout(60_000, options.storeTimeoutMs()));
    cluster.options = options;
    cluster.start("n1");
    cluster.isolate("n0");
    cluster.isolate("n1");
    final Attempt old = sendMany(cluster, "n0", 150).get(0);
    cluster.run(200_000);
    sendMany(cluster, "n0", 150);
    cluster.run(5_000);
    Attempt again = sendAgain(cluster, "n1", old);
    assertThat(Objects.requireNonNull(again.refusal).code())
        .isEqualTo(ResultCode.IDEMPOTENCY_KEY_EXPIRED);
    assertThat(cluster.violations).isEmpty();
  }
}
