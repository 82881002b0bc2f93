package org.currantslip.core.mirror;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.schema.CopyPartRequest;
import org.currantslip.schema.MirrorChanges;
import org.currantslip.schema.MirrorObject;
import org.currantslip.schema.PeerFrame;
import org.junit.jupiter.api.Test;

/** Tests the transfer of packed copies between nodes whose sources fail. */
final class CopyTransferTest {
  private static final int COPY_BYTES = 200_000;
  private static final MirrorChanges MISSING = MirrorChanges.getDefaultInstance();

  private final FakeEvents events = FakeEvents.on(ManualClock.startingAt(1_000_000));
  private final FakePeerNetwork network = FakePeerNetwork.create(events);
  private final Map<String, MirrorCopies> nodes = new HashMap<>();
  private final Set<String> silent = new HashSet<>();
  private final List<Integer> offsets = new ArrayList<>();
  private final MirrorChanges changes = changes(COPY_BYTES);

  private static MirrorChanges changes(int bytes) {
    byte[] spec = new byte[bytes];
    new SplittableRandom(53).nextBytes(spec);
    return MirrorChanges.newBuilder()
        .setRevision(7)
        .addObject(MirrorObject.newBuilder().setName("large").setSpec(ByteString.copyFrom(spec)))
        .addRemoved("gone")
        .build();
  }

  private MirrorCopies node(String name) {
    return nodes.computeIfAbsent(
        name,
        n ->
            MirrorCopies.create(
                network.join(n, (from, frame) -> answer(n, from, frame)), events.clock()));
  }

  private CompletableFuture<PeerFrame> answer(String name, String from, PeerFrame frame) {
    if (silent.contains(name)) {
      return new CompletableFuture<>();
    }
    CopyPartRequest request = frame.getCopyPartRequest();
    offsets.add(request.getOffset());
    return CompletableFuture.completedFuture(
        PeerFrame.newBuilder().setCopyPart(node(name).answer(from, request)).build());
  }

  private void advance(long ms) {
    for (long i = 0; i < ms; i += 10) {
      events.advance(10);
      nodes.values().forEach(MirrorCopies::tick);
    }
  }

  @Test
  void copyGoesOnAtAnotherNodeWhereItsSourceFellSilent() {
    MirrorChanges packed = node("a").pack(changes);
    node("b").pack(changes);
    final CompletableFuture<MirrorChanges> copy = node("c").unpack("a", packed);
    events.advance(7);
    silent.add("a");
    final int partsOfFirst = offsets.size();
    node("c").unpack("b", packed);
    advance(2_000);
    assertThat(copy.getNow(MISSING)).isEqualTo(changes);
    assertThat(partsOfFirst).isAtLeast(2);
    assertThat(offsets).containsNoDuplicates();
  }

  @Test
  void copyThatNoSourceSendsFailsAndGoesOnLater() {
    MirrorChanges packed = node("a").pack(changes);
    final CompletableFuture<MirrorChanges> copy = node("c").unpack("a", packed);
    events.advance(7);
    silent.add("a");
    advance(6_000);
    assertThat(copy.isCompletedExceptionally()).isTrue();
    silent.clear();
    CompletableFuture<MirrorChanges> again = node("c").unpack("a", packed);
    advance(1_000);
    assertThat(again.getNow(MISSING)).isEqualTo(changes);
    assertThat(offsets).containsNoDuplicates();
  }

  /** The only known source held up a copy for longer than a configuration may take. */
  @Test
  void copyWhoseOnlySourceFallsSilentIsGivenUpInTime() {
    MirrorChanges packed = node("a").pack(changes);
    final CompletableFuture<MirrorChanges> copy = node("c").unpack("a", packed);
    events.advance(7);
    silent.add("a");
    advance(2_000);
    assertThat(copy.isCompletedExceptionally()).isTrue();
  }

  @Test
  void nodesBeyondThoseServedAtOnceAreSentToHolders() {
    MirrorChanges packed = node("a").pack(changes);
    network.setLinkBytesPerMs(1_000);
    List<CompletableFuture<MirrorChanges>> copies = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      copies.add(node("n" + i).unpack("a", packed));
    }
    // One source alone would need 40 times 200 ms.
    advance(5_000);
    copies.forEach(copy -> assertThat(copy.getNow(MISSING)).isEqualTo(changes));
  }

  @Test
  void smallChangesAreSentAsTheyAre() {
    MirrorChanges small = changes(100);
    assertThat(node("a").pack(small)).isSameInstanceAs(small);
  }
}
