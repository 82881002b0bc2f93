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
 * Keeps usage records with two peers until the store has them.
 *
 * <p>A record belongs to the batch that was open when it was added, and its copies carry that
 * batch's sequence, so whoever writes it uses the same name. A holder drops a record only after
 * having seen it in the store, or after its owner has.
 */
public final class PeerUsageSpool implements UsageSpool {
  private static final int COPIES = 2;
  private static final int MAX_COPY_RECORDS = 512;
  private static final int MAX_RELEASE_PEERS = 16;
  private static final long ADOPT_EVERY_MS = 1_000;
  private static final long RELEASE_EVERY_MS = 10_000;

  private final NodeId self;
  private final PeerNetwork peers;
  private final Membership membership;
  private final Clock clock;
  private final UsageOptions options;
  private final BatchWriter writer;
  private final CopyPeers copyPeers;
  private final HeldCopies held;
  private final TreeMap<Long, OwnBatch> batches = new TreeMap<>();
  private final Set<HeldCopies.Orphan> adopting = new HashSet<>();
  private final Set<String> releasePeers = new LinkedHashSet<>();
  private @Nullable OwnBatch open;
  private @Nullable CompletableFuture<Void> flushed;
  private long nextSequence = 1;
  private int ownRecords;
  private boolean stopping;
  private long nextWriteMs;
  private long nextAdoptMs;
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
    writer = BatchWriter.create(self.getId(), store, clock, options.storeMs());
    copyPeers = CopyPeers.create(self, membership, clock);
    held = HeldCopies.create(options.maxHeldRecords());
    nextReleaseMs = clock.nowMs() + RELEASE_EVERY_MS;
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
  public boolean hasRoom() {
    return ownRecords < options.maxRecords();
  }

  @Override
  public CompletableFuture<Void> add(UsageRecord rec) {
    OwnBatch batch = open;
    if (batch == null || batch.isFull(options.maxBatchRecords())) {
      batch = OwnBatch.open(nextSequence++, clock.nowMs());
      batches.put(batch.sequence(), batch);
      open = batch;
    }
    ownRecords++;
    CompletableFuture<Void> safe = batch.add(rec);
    copyOut(batch);
    return safe;
  }

  /** Returns how many records are kept for other nodes. */
  int heldRecords() {
    return held.size();
  }

  // Copies of this node's records.

  private void copyOut(OwnBatch batch) {
    batch.copies().removeIf(c -> !copyPeers.isUsable(c.peer()));
    if (batch.copies().size() < COPIES) {
      Set<NodeId> inUse =
          batch.copies().stream().map(OwnBatch.Copy::peer).collect(Collectors.toSet());
      copyPeers.choose(COPIES - inUse.size(), inUse).forEach(batch::addCopy);
    }
    List.copyOf(batch.copies()).stream()
        .filter(c -> !c.isAsking() && c.acked() < batch.size())
        .forEach(c -> send(batch, c));
  }

  private void send(OwnBatch batch, OwnBatch.Copy copy) {
    List<UsageRecord> records = batch.records(copy.acked(), MAX_COPY_RECORDS);
    int upTo = copy.acked() + records.size();
    UsageCopy message =
        UsageCopy.newBuilder()
            .setOwner(self)
            .setSequence(batch.sequence())
            .setFirstIndex(copy.acked())
            .addAllRecord(records)
            .build();
    copy.markAsking();
    releaseLaterTo(copy.peer().getName());
    peers
        .ask(
            copy.peer().getName(),
            PeerFrame.newBuilder().setUsageCopy(message).build(),
            options.peerMs())
        .whenComplete(
            (reply, failure) -> {
              if (failure == null && reply.getUsageCopyAck().getStored()) {
                copy.markAcked(upTo);
                batch.completeCopied(COPIES);
              } else {
                copyPeers.suspect(copy.peer());
                batch.copies().remove(copy);
              }
              copyOutIfOpen(batch);
            });
  }

  /** Records that came while a copy was on its way follow at once. */
  private void copyOutIfOpen(OwnBatch batch) {
    if (batches.containsKey(batch.sequence())) {
      copyOut(batch);
    }
  }

  private void releaseLaterTo(String peer) {
    releasePeers.remove(peer);
    releasePeers.add(peer);
    if (releasePeers.size() > MAX_RELEASE_PEERS) {
      releasePeers.remove(releasePeers.iterator().next());
    }
  }

  // Writing this node's batches.

  private void writeDue() {
    for (OwnBatch batch : List.copyOf(batches.values())) {
      if (!batch.isWriting() && batch.size() > 0 && isDue(batch)) {
        write(batch);
      }
    }
  }

  private boolean isDue(OwnBatch batch) {
    if (flushed != null) {
      return true;
    }
    long ageMs = clock.nowMs() - batch.openedMs();
    if (batch.hasUnsafe() && batch.copies().size() < COPIES) {
      return ageMs >= options.directBatchMs();
    }
    boolean ripe = ageMs >= options.batchMs() || batch.isFull(options.maxBatchRecords());
    return ripe && writer.isIdle() && clock.nowMs() >= nextWriteMs;
  }

  private void write(OwnBatch batch) {
    if (batch == open) {
      open = null;
    }
    batch.markWriting();
    nextWriteMs = clock.nowMs() + options.writeGapMs();
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
    long through = batches.isEmpty() ? nextSequence - 1 : batches.firstKey() - 1;
    UsageRelease release =
        UsageRelease.newBuilder().setOwner(self).setThroughSequence(through).build();
    PeerFrame frame = PeerFrame.newBuilder().setUsageRelease(release).build();
    releasePeers.forEach(peer -> peers.send(peer, frame));
    nextReleaseMs = clock.nowMs() + RELEASE_EVERY_MS;
  }

  // Copies of other nodes' records.

  @Override
  public UsageCopyAck onCopy(UsageCopy copy) {
    return UsageCopyAck.newBuilder()
        .setOwner(copy.getOwner())
        .setSequence(copy.getSequence())
        .setStored(!stopping && held.keep(copy))
        .build();
  }

  @Override
  public void onRelease(UsageRelease release) {
    held.release(release.getOwner(), release.getThroughSequence());
  }

  /**
   * Writes the batches of owners that are gone; a stopping node writes those of all, since an owner
   * that it believes alive may be dead already. A record that is stored is never doubled.
   */
  private void adopt() {
    for (HeldCopies.Orphan orphan : held.orphans(o -> flushed != null || isGone(o))) {
      boolean known =
          adopting.stream()
              .anyMatch(a -> a.owner().equals(orphan.owner()) && a.sequence() == orphan.sequence());
      if (!known) {
        adopting.add(orphan);
        writer
            .write(orphan.owner(), orphan.sequence(), orphan.records())
            .thenAccept(
                stored -> {
                  adopting.remove(orphan);
                  held.dropIfUnchanged(orphan);
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

  // Time.

  @Override
  public void tick() {
    List.copyOf(batches.values()).forEach(this::copyOut);
    writeDue();
    if (flushed != null || clock.nowMs() >= nextAdoptMs) {
      nextAdoptMs = clock.nowMs() + ADOPT_EVERY_MS;
      adopt();
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
    if (flushed == null) {
      flushed = new CompletableFuture<>();
    }
    return flushed;
  }

  private void completeFlush() {
    if (flushed != null && batches.isEmpty() && adopting.isEmpty() && held.size() == 0) {
      CompletableFuture<Void> done = flushed;
      flushed = null;
      sendReleases();
      done.complete(null);
    }
  }
}
