package org.currantslip.core.mirror;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.CopyPart;
import org.currantslip.schema.CopyPartRequest;
import org.currantslip.schema.CopyReference;
import org.currantslip.schema.MirrorChanges;
import org.currantslip.schema.MirrorObjects;
import org.currantslip.schema.MirrorSnapshot;

/**
 * Replaces large sets of objects in messages to peers by references to packed copies, and fetches
 * the copies that peers refer to. Confined to the decision thread.
 */
public final class MirrorCopies {
  /** Larger messages delay the heartbeats behind them on slow links. */
  private static final int MAX_INLINE_BYTES = CopySender.PART_BYTES;

  private final HeldCopies held = HeldCopies.create();
  private final CopySender sender;
  private final CopyFetcher fetcher;

  private MirrorCopies(PeerNetwork peers, Clock clock) {
    sender = CopySender.create(held, clock);
    fetcher = CopyFetcher.create(held, peers, clock);
  }

  /** Returns an instance that holds no copy yet. */
  public static MirrorCopies create(PeerNetwork peers, Clock clock) {
    return new MirrorCopies(peers, clock);
  }

  /** Returns the part of a copy that a peer requested. */
  public CopyPart answer(String receiver, CopyPartRequest request) {
    return sender.answer(receiver, request);
  }

  /** Continues the fetches that wait for a source. */
  public void tick() {
    fetcher.tick();
  }

  /** Returns the message with a reference in place of its objects, if they are large. */
  MirrorChanges pack(MirrorChanges changes) {
    return reference(
            changes.getSerializedSize(),
            MirrorObjects.newBuilder()
                .addAllObject(changes.getObjectList())
                .addAllRemoved(changes.getRemovedList()))
        .map(packed -> changes.toBuilder().clearObject().clearRemoved().setPacked(packed).build())
        .orElse(changes);
  }

  /** Returns the message with a reference in place of its objects, if they are large. */
  MirrorSnapshot pack(MirrorSnapshot snapshot) {
    return reference(
            snapshot.getSerializedSize(),
            MirrorObjects.newBuilder().addAllObject(snapshot.getObjectList()))
        .map(packed -> snapshot.toBuilder().clearObject().setPacked(packed).build())
        .orElse(snapshot);
  }

  private Optional<CopyReference> reference(int inlineBytes, MirrorObjects.Builder objects) {
    return Optional.of(objects)
        .filter(o -> inlineBytes > MAX_INLINE_BYTES)
        .map(o -> held.pack(o.build()).reference())
        .filter(PackedCopy::isAcceptable);
  }

  /** Returns the message with its objects, which are fetched if it refers to a packed copy. */
  CompletableFuture<MirrorChanges> unpack(String peer, MirrorChanges changes) {
    if (!changes.hasPacked()) {
      return CompletableFuture.completedFuture(changes);
    }
    return fetcher
        .fetch(changes.getPacked(), peer)
        .thenApply(
            objects ->
                changes.toBuilder()
                    .clearPacked()
                    .addAllObject(objects.getObjectList())
                    .addAllRemoved(objects.getRemovedList())
                    .build());
  }

  /** Returns the message with its objects, which are fetched if it refers to a packed copy. */
  CompletableFuture<MirrorSnapshot> unpack(String peer, MirrorSnapshot snapshot) {
    if (!snapshot.hasPacked()) {
      return CompletableFuture.completedFuture(snapshot);
    }
    return fetcher
        .fetch(snapshot.getPacked(), peer)
        .thenApply(
            objects ->
                snapshot.toBuilder().clearPacked().addAllObject(objects.getObjectList()).build());
  }
}
