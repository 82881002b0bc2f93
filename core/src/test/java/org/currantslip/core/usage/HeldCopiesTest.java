package org.currantslip.core.usage;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.UsageCopy;
import org.currantslip.schema.UsageRecord;
import org.junit.jupiter.api.Test;

final class HeldCopiesTest {
  private static final NodeId OWNER = NodeId.newBuilder().setName("n0").setIncarnation(1).build();

  private static UsageCopy copy(long sequence, int first, int count) {
    List<UsageRecord> records =
        IntStream.range(first, first + count)
            .mapToObj(i -> UsageRecord.newBuilder().setRequestId("r" + i).build())
            .toList();
    return UsageCopy.newBuilder()
        .setOwner(OWNER)
        .setSequence(sequence)
        .setFirstIndex(first)
        .addAllRecord(records)
        .build();
  }

  @Test
  void repeatedCopiesCountOnceAndGapsAreRefused() {
    HeldCopies held = HeldCopies.create(100);
    assertThat(held.add(copy(1, 0, 3))).isTrue();
    assertThat(held.add(copy(1, 0, 3))).isTrue();
    assertThat(held.add(copy(1, 2, 2))).isTrue();
    assertThat(held.size()).isEqualTo(4);
    assertThat(held.add(copy(1, 5, 1))).isFalse();
    assertThat(held.add(copy(2, 1, 1))).isFalse();
  }

  @Test
  void refusesCopiesBeyondTheLimit() {
    HeldCopies held = HeldCopies.create(3);
    assertThat(held.add(copy(1, 0, 3))).isTrue();
    assertThat(held.add(copy(2, 0, 1))).isFalse();
    held.release(OWNER, 1);
    assertThat(held.size()).isEqualTo(0);
    assertThat(held.add(copy(2, 0, 1))).isTrue();
  }

  @Test
  void batchThatGrewDuringTheWriteIsRetained() {
    HeldCopies held = HeldCopies.create(100);
    held.add(copy(1, 0, 1));
    HeldCopies.OrphanedBatch writtenBatch = held.orphanedBatches(id -> true).get(0);
    held.add(copy(1, 1, 1));
    assertThat(held.removeIfUnchanged(writtenBatch)).isFalse();
    HeldCopies.OrphanedBatch grownBatch = held.orphanedBatches(id -> true).get(0);
    assertThat(grownBatch.records()).hasSize(2);
    assertThat(held.removeIfUnchanged(grownBatch)).isTrue();
    assertThat(held.size()).isEqualTo(0);
  }
}
