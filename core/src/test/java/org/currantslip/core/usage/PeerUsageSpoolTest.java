package org.currantslip.core.usage;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.fake.FakeObjectStore.Call;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.UsageBatch;
import org.currantslip.schema.UsageRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

final class PeerUsageSpoolTest {
  private static final long BATCH_MS = 15_000;
  private static final long SETTLE_MS = 60_000;

  private static void assertBilledOnce(UsageCluster cluster) {
    List<String> billed = cluster.billed();
    assertThat(billed).containsNoDuplicates();
    assertThat(billed).containsAtLeastElementsIn(cluster.answered);
    assertThat(cluster.added).containsAtLeastElementsIn(billed);
  }

  @Test
  void recordIsDurableOnceTwoPeersHaveCopies() {
    UsageCluster cluster = UsageCluster.of(4);
    String id = cluster.request("n0");
    cluster.run(20);
    assertThat(cluster.answered).containsExactly(id);
    assertThat(cluster.store.listDirectly("usage/")).isEmpty();
    cluster.run(2 * BATCH_MS);
    assertThat(cluster.billed()).containsExactly(id);
    cluster.nodes.values().forEach(n -> assertThat(n.spool.heldRecordCount()).isEqualTo(0));
  }

  @Test
  void oneCopyIsNotEnough() {
    UsageCluster cluster = UsageCluster.of(4);
    cluster.store.setUnavailable(true);
    int[] copies = new int[1];
    cluster.network.setLossPlan((from, to, frame) -> frame.hasUsageCopy() && copies[0]++ > 0);
    cluster.request("n0");
    cluster.run(5_000);
    assertThat(cluster.answered).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"1", "2"})
  void withoutTwoPeersTheRecordIsStoredBeforeTheAnswer(int nodes) {
    UsageCluster cluster = UsageCluster.of(nodes);
    cluster.store.setUnavailable(true);
    final String id = cluster.request("n0");
    cluster.run(5_000);
    assertThat(cluster.answered).isEmpty();
    cluster.store.setUnavailable(false);
    cluster.run(5_000);
    assertThat(cluster.answered).containsExactly(id);
    assertThat(cluster.billed()).containsExactly(id);
  }

  @Test
  void peersInTheSameFailureDomainHoldNoCopies() {
    UsageCluster cluster = UsageCluster.of(9);
    cluster.request("n0");
    cluster.run(20);
    assertThat(cluster.node("n4").spool.heldRecordCount()).isEqualTo(0);
    assertThat(cluster.node("n8").spool.heldRecordCount()).isEqualTo(0);
  }

  @ParameterizedTest
  @EnumSource(StoreFault.class)
  void storeFaultOnFirstWriteBillsOnce(StoreFault fault) {
    UsageCluster cluster = UsageCluster.of(4);
    cluster.store.inject(Call.CREATE, "usage/", fault);
    cluster.request("n0");
    cluster.run(SETTLE_MS);
    cluster.request("n0");
    cluster.run(SETTLE_MS);
    assertThat(cluster.answered).hasSize(2);
    assertBilledOnce(cluster);
  }

  /** The owner dies at different times; both holders take over its batch. */
  @ParameterizedTest
  @CsvSource({"1", "5", "9", "11", "13", "20", "14995", "15008", "15012", "15020", "16000"})
  void recordsOfDeadOwnerAreTakenOver(long killAtMs) {
    UsageCluster cluster = UsageCluster.of(4);
    cluster.request("n0");
    cluster.run(killAtMs);
    NodeId owner = cluster.node("n0").record.getId();
    cluster.kill("n0");
    cluster.run(2_000);
    cluster.declareGone(owner);
    cluster.run(SETTLE_MS);
    assertBilledOnce(cluster);
  }

  /** Holders that are stopped must not wait until the dead owner is declared gone. */
  @Test
  void stoppingHoldersWriteHeldRecords() {
    UsageCluster cluster = UsageCluster.of(4);
    cluster.request("n0");
    cluster.run(20);
    cluster.kill("n0");
    cluster.run(2_000);
    List<CompletableFuture<Void>> flushed =
        cluster.nodes.values().stream().map(n -> n.spool.flush()).toList();
    cluster.run(5_000);
    flushed.forEach(f -> assertThat(f.isDone()).isTrue());
    assertThat(cluster.answered).hasSize(1);
    assertBilledOnce(cluster);
  }

  @Test
  void stoppingHolderOfLiveOwnerWritesNoDuplicates() {
    UsageCluster cluster = UsageCluster.of(4);
    cluster.request("n0");
    cluster.run(20);
    CompletableFuture<Void> flushed = cluster.node("n1").spool.flush();
    cluster.run(1_000);
    assertThat(flushed.isDone()).isTrue();
    cluster.kill("n1");
    cluster.request("n0");
    cluster.run(SETTLE_MS);
    assertThat(cluster.answered).hasSize(2);
    assertBilledOnce(cluster);
  }

  /** The owner is cut off from the store, declared gone while alive, and continues its batch. */
  @Test
  void liveOwnerDeclaredGoneLosesNoRecords() {
    UsageCluster cluster = UsageCluster.of(6);
    cluster.node("n0").link.setCut(true);
    cluster.request("n0");
    cluster.run(1_000);
    cluster.declareGone(cluster.node("n0").record.getId());
    cluster.run(5_000);
    cluster.request("n0");
    cluster.run(1_000);
    cluster.node("n0").link.setCut(false);
    cluster.run(SETTLE_MS);
    assertThat(cluster.answered).hasSize(2);
    assertBilledOnce(cluster);
  }

  @Test
  void lostPeerIsReplacedDuringStoreOutage() {
    UsageCluster cluster = UsageCluster.of(6);
    cluster.store.setUnavailable(true);
    cluster.request("n0");
    cluster.run(1_000);
    List<String> holders =
        cluster.nodes.values().stream()
            .filter(n -> n.spool.heldRecordCount() > 0)
            .map(UsageCluster.Node::name)
            .toList();
    assertThat(holders).hasSize(2);
    for (String holder : holders) {
      NodeId id = cluster.node(holder).record.getId();
      cluster.kill(holder);
      cluster.declareGone(id);
      cluster.run(1_000);
    }
    NodeId owner = cluster.node("n0").record.getId();
    cluster.kill("n0");
    cluster.declareGone(owner);
    cluster.store.setUnavailable(false);
    cluster.run(SETTLE_MS);
    assertThat(cluster.answered).hasSize(1);
    assertBilledOnce(cluster);
  }

  @Test
  void hasNoRoomAtTheLimitUntilTheStoreRecovers() {
    UsageCluster cluster = UsageCluster.of(4, UsageOptions.of(20, 2_000));
    cluster.store.setUnavailable(true);
    for (int i = 0; i < 20; i++) {
      assertThat(cluster.node("n0").spool.hasCapacity()).isTrue();
      cluster.request("n0");
    }
    assertThat(cluster.node("n0").spool.hasCapacity()).isFalse();
    cluster.run(SETTLE_MS);
    assertThat(cluster.node("n0").spool.hasCapacity()).isFalse();
    cluster.store.setUnavailable(false);
    cluster.run(SETTLE_MS);
    assertThat(cluster.node("n0").spool.hasCapacity()).isTrue();
    assertBilledOnce(cluster);
  }

  @Test
  void flushWritesAllRecords() {
    UsageCluster cluster = UsageCluster.of(4);
    for (int i = 0; i < 50; i++) {
      cluster.request("n" + i % 4);
    }
    CompletableFuture<Void> flushed = cluster.node("n0").spool.flush();
    cluster.run(200);
    assertThat(flushed.isDone()).isTrue();
    cluster.kill("n0");
    cluster.run(SETTLE_MS);
    assertThat(cluster.answered).hasSize(50);
    assertBilledOnce(cluster);
  }

  @Test
  void readerCountsRecordInTwoBatchesOnce() {
    UsageCluster cluster = UsageCluster.of(1);
    UsageRecord rec = UsageRecord.newBuilder().setRequestId("r1").build();
    UsageBatch batch = UsageBatch.newBuilder().addRecord(rec).build();
    NodeId owner = cluster.node("n0").record.getId();
    cluster.store.putDirectly(UsageNames.batch(owner, 1, 0), batch.toByteString());
    cluster.store.putDirectly(UsageNames.batch(owner, 1, 1), batch.toByteString());
    assertThat(cluster.billed()).containsExactly("r1");
  }

  @Test
  void readerPagesThroughManyBatches() {
    UsageCluster cluster = UsageCluster.of(4);
    for (int i = 0; i < 40; i++) {
      cluster.request("n" + i % 4);
      cluster.run(BATCH_MS);
    }
    cluster.run(SETTLE_MS);
    assertThat(cluster.store.listDirectly("usage/").size()).isGreaterThan(16);
    assertThat(cluster.billed()).hasSize(40);
  }
}
