package org.currantslip.core.usage;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.UsageCopy;
import org.currantslip.schema.UsageCopyAck;
import org.currantslip.schema.UsageRecord;
import org.currantslip.schema.UsageRelease;
import org.jspecify.annotations.Nullable;

/**
 * Replicates usage records to two peers until they are in the store.
 *
 * <p>A record belongs to the batch that was open when it was added. Copies carry the sequence of
 * that batch, so every node that writes it uses the same object name. A holder discards a record
 * only after it or the owner has confirmed that the record is stored.
 */
public final class PeerUsageSpool implements UsageSpool {
  private static final int COPY_COUNT = 2;
  private static final int MAX_COPY_RECORDS = 512;
  private static final int MAX_RELEASE_PEERS = 16;
  private static final long ORPHAN_CHECK_INTERVAL_MS = 1_000;
  private static final long RELEASE_INTERVAL_MS = 10_000;

  private final NodeId self;
  private final PeerNetwork peers;
  private final Membership membership;
  private final Clock clock;
  private final UsageOptions options;
  private final BatchWriter writer;
  private final CopyPeerSelector copyPeerSelector;
  private final HeldCopies held;
  private final TreeMap<Long, LocalBatch> batches = new TreeMap<>();
  private final Set<HeldCopies.OrphanedBatch> orphansBeingWritten = new HashSet<>();
  private final Set<String> releasePeers = new LinkedHashSet<>();
  private @Nullable LocalBatch openBatch;
  private @Nullable CompletableFuture<Void> flushFuture;
  private long nextSequence = 1;
  private int ownRecords;
  private boolean stopping;
  private long nextWriteMs;
  private long nextOrphanCheckMs;
  private long nextReleaseMs;

  private PeerUsageSpool(
      NodeRecord self,
      ObjectStore store,
      PeerNetwork peers,
      Membership membership,
      Clock clock,
      UsageOptions options) {
    this.self = self.getId();
    this.peers = peers;
    this.membership = membership;
    this.clock = clock;
    this.options = options;
    writer = BatchWriter.create(self.getId(), store, clock, options.storeTimeoutMs());
    copyPeerSelector = CopyPeerSelector.create(self, membership, clock);
    held = HeldCopies.create(options.maxHeldRecords());
    nextReleaseMs = clock.nowMs() + RELEASE_INTERVAL_MS;
  }

  /** Returns the spool of one node. */
  public static PeerUsageSpool create(
      NodeRecord self,
      ObjectStore store,
      PeerNetwork peers,
      Membership membership,
      Clock clock,
      UsageOptions options) {
    return new PeerUsageSpool(self, store, peers, membership, clock, options);
  }

  @Override
  public boolean hasCapacity() {
    return ownRecords < options.maxRecords();
  }

  @Override
  public CompletableFuture<Void> add(UsageRecord rec) {
    LocalBatch batch = openBatch;
    if (batch == null || batch.isFull(options.maxBatchRecords())) {
      batch = LocalBatch.open(nextSequence++, clock.nowMs());
      batches.put(batch.sequence(), batch);
      openBatch = batch;
    }
    ownRecords++;
    CompletableFuture<Void> durable = batch.add(rec);
    sendCopies(batch);
    return durable;
  }

  /** Returns the number of records held for other nodes. */
  int heldRecordCount() {
    return held.size();
  }

  // Copies of this node's records.

  private void sendCopies(LocalBatch batch) {
    batch.copies().removeIf(c -> !copyPeerSelector.isUsable(c.peer()));
    if (batch.copies().size() < COPY_COUNT) {
      Set<NodeId> inUse =
          batch.copies().stream().map(LocalBatch.Copy::peer).collect(Collectors.toSet());
      copyPeerSelector.select(COPY_COUNT - inUse.size(), inUse).forEach(batch::addCopy);
    }
    List.copyOf(batch.copies()).stream()
        .filter(c -> !c.isInFlight() && c.acked() < batch.size())
        .forEach(c -> send(batch, c));
  }

  private void send(LocalBatch batch, LocalBatch.Copy copy) {
    List<UsageRecord> records = batch.records(copy.acked(), MAX_COPY_RECORDS);
    int ackedCount = copy.acked() + records.size();
    UsageCopy message =
        UsageCopy.newBuilder()
            .setOwner(self)
            .setSequence(batch.sequence())
            .setFirstIndex(copy.acked())
            .addAllRecord(records)
            .build();
    copy.markSent();
    addReleasePeer(copy.peer().getName());
    peers
        .request(
            copy.peer().getName(),
            PeerFrame.newBuilder().setUsageCopy(message).build(),
            options.peerTimeoutMs())
        .whenComplete(
            (reply, failure) -> {
              if (failure == null && reply.getUsageCopyAck().getStored()) {
                copy.markAcked(ackedCount);
                batch.completeReplicated(COPY_COUNT);
              } else {
                copyPeerSelector.suspect(copy.peer());
                batch.copies().remove(copy);
              }
              sendCopiesIfPending(batch);
            });
  }

  /** Sends the records that were added while a copy was in flight. */
  private void sendCopiesIfPending(LocalBatch batch) {
    if (batches.containsKey(batch.sequence())) {
      sendCopies(batch);
    }
  }

  private void addReleasePeer(String peer) {
    releasePeers.remove(peer);
    releasePeers.add(peer);
    if (releasePeers.size() > MAX_RELEASE_PEERS) {
      releasePeers.remove(releasePeers.iterator().next());
    }
  }

  // Batches of this node.

  private void writeDueBatches() {
    for (LocalBatch batch : List.copyOf(batches.values())) {
      if (!batch.isWriting() && batch.size() > 0 && isDue(batch)) {
        write(batch);
      }
    }
  }

  private boolean isDue(LocalBatch batch) {
    if (flushFuture != null) {
      return true;
    }
    long ageMs = clock.nowMs() - batch.openedMs();
    if (batch.hasNonDurable() && batch.copies().size() < COPY_COUNT) {
      return ageMs >= options.maxDirectBatchAgeMs();
    }
    boolean readyToWrite =
        ageMs >= options.maxBatchAgeMs() || batch.isFull(options.maxBatchRecords());
    return readyToWrite && writer.isIdle() && clock.nowMs() >= nextWriteMs;
  }

  private void write(LocalBatch batch) {
    if (batch == openBatch) {
      openBatch = null;
    }
    batch.markWriting();
    nextWriteMs = clock.nowMs() + options.minWriteIntervalMs();
    writer
        .write(self, batch.sequence(), batch.records())
        .thenAccept(
            stored -> {
              batches.remove(batch.sequence());
              ownRecords -= batch.size();
              batch.completeAll();
              sendReleases();
            });
  }

  private void sendReleases() {
    long throughSequence = batches.isEmpty() ? nextSequence - 1 : batches.firstKey() - 1;
    UsageRelease release =
        UsageRelease.newBuilder().setOwner(self).setThroughSequence(throughSequence).build();
    PeerFrame frame = PeerFrame.newBuilder().setUsageRelease(release).build();
    releasePeers.forEach(peer -> peers.send(peer, frame));
    nextReleaseMs = clock.nowMs() + RELEASE_INTERVAL_MS;
  }

  // Copies of other nodes' records.

  @Override
  public UsageCopyAck onCopy(UsageCopy copy) {
    return UsageCopyAck.newBuilder()
        .setOwner(copy.getOwner())
        .setSequence(copy.getSequence())
        .setStored(!stopping && held.add(copy))
        .build();
  }

  @Override
  public void onRelease(UsageRelease release) {
    held.release(release.getOwner(), release.getThroughSequence());
  }

  /**
   * Writes the held batches of owners that are gone. During a flush, writes all held batches,
   * because an owner that looks alive may already be dead. Records that are already stored are not
   * written again.
   */
  private void writeOrphanedBatches() {
    for (HeldCopies.OrphanedBatch orphan :
        held.orphanedBatches(o -> flushFuture != null || isGone(o))) {
      boolean alreadyWriting =
          orphansBeingWritten.stream()
              .anyMatch(a -> a.owner().equals(orphan.owner()) && a.sequence() == orphan.sequence());
      if (!alreadyWriting) {
        orphansBeingWritten.add(orphan);
        writer
            .write(orphan.owner(), orphan.sequence(), orphan.records())
            .thenAccept(
                stored -> {
                  orphansBeingWritten.remove(orphan);
                  held.removeIfUnchanged(orphan);
                });
      }
    }
  }

  private boolean isGone(NodeId owner) {
    return membership.isGone(owner)
        || membership
            .find(owner.getName())
            .filter(n -> n.getId().getIncarnation() > owner.getIncarnation())
            .isPresent();
  }

  // Timers.

  @Override
  public void tick() {
    List.copyOf(batches.values()).forEach(this::sendCopies);
    writeDueBatches();
    if (flushFuture != null || clock.nowMs() >= nextOrphanCheckMs) {
      nextOrphanCheckMs = clock.nowMs() + ORPHAN_CHECK_INTERVAL_MS;
      writeOrphanedBatches();
    }
    if (clock.nowMs() >= nextReleaseMs && !releasePeers.isEmpty()) {
      sendReleases();
    }
    writer.tick();
    completeFlush();
  }

  @Override
  public CompletableFuture<Void> flush() {
    stopping = true;
    if (flushFuture == null) {
      flushFuture = new CompletableFuture<>();
    }
    return flushFuture;
  }

  private void completeFlush() {
    if (flushFuture != null
        && batches.isEmpty()
        && orphansBeingWritten.isEmpty()
        && held.size() == 0) {
      CompletableFuture<Void> done = flushFuture;
      flushFuture = null;
      sendReleases();
      done.complete(null);
    }
  }
}
