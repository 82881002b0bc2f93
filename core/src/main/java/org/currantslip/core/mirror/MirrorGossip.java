package org.currantslip.core.mirror;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.port.StorePosition;
import org.currantslip.schema.MirrorRequest;
import org.currantslip.schema.MirrorRevision;
import org.currantslip.schema.MirrorSnapshot;
import org.currantslip.schema.PeerFrame;

/**
 * Updates mirrors that have fallen behind from the copies of peers.
 *
 * <p>Heartbeats carry the revision at which each copy last changed. A node that has not reached
 * that revision requests the peer's full copy, unless its own watch delivers the change first.
 */
public final class MirrorGossip {
  /** Time that this node's own watch has to deliver a change reported by a peer. */
  private static final long WATCH_GRACE_MS = 300;

  private static final long REQUEST_TIMEOUT_MS = 1_000;

  /** State of a peer's copy that this node has not reached, and the time it learned of it. */
  private record Behind(StorePosition changed, long contentVersion, String node, long sinceMs) {
    private boolean isAheadOf(KindMirror mirror) {
      return changed.isAfter(mirror.position()) || contentVersion > mirror.contentVersion();
    }
  }

  private final ImmutableMap<String, KindMirror> mirrors;
  private final PeerNetwork peers;
  private final MirrorCopies copies;
  private final Clock clock;
  private final BiConsumer<String, Throwable> failureListener;
  private final Map<String, Behind> behindByKind = new HashMap<>();
  private final Map<String, Long> requestDeadlineMs = new HashMap<>();
  private Runnable copyListener = () -> {};

  private MirrorGossip(
      List<KindMirror> mirrors,
      PeerNetwork peers,
      MirrorCopies copies,
      Clock clock,
      BiConsumer<String, Throwable> failureListener) {
    this.mirrors = Maps.uniqueIndex(mirrors, KindMirror::kind);
    this.peers = peers;
    this.copies = copies;
    this.clock = clock;
    this.failureListener = failureListener;
  }

  /**
   * Returns an instance that keeps these mirrors up to date.
   *
   * @param failureListener called when a peer did not send its copy; a later heartbeat retries
   */
  public static MirrorGossip create(
      List<KindMirror> mirrors,
      PeerNetwork peers,
      MirrorCopies copies,
      Clock clock,
      BiConsumer<String, Throwable> failureListener) {
    return new MirrorGossip(mirrors, peers, copies, clock, failureListener);
  }

  /** Sets the listener that runs after this node has taken a peer's copy. */
  public void setCopyListener(Runnable listener) {
    copyListener = listener;
  }

  /** Returns the revisions of this node's copies, to be sent in heartbeats. */
  public List<MirrorRevision> revisions() {
    return mirrors.values().stream()
        .map(
            m ->
                MirrorRevision.newBuilder()
                    .setKind(m.kind())
                    .setEra(m.changedPosition().era())
                    .setChangedRevision(m.changedPosition().revision())
                    .setContentVersion(m.contentVersion())
                    .build())
        .toList();
  }

  /** Handles the revisions in a peer's heartbeat. */
  public void onRevisions(String node, List<MirrorRevision> revisions) {
    revisions.forEach(r -> onRevision(node, r));
  }

  private void onRevision(String node, MirrorRevision peerRevision) {
    KindMirror mirror = mirrors.get(peerRevision.getKind());
    if (mirror == null) {
      return;
    }
    StorePosition changed =
        new StorePosition(peerRevision.getEra(), peerRevision.getChangedRevision());
    long contentVersion = peerRevision.getContentVersion();
    Behind news = new Behind(changed, contentVersion, node, clock.nowMs());
    if (!news.isAheadOf(mirror)) {
      return;
    }
    // A peer that is as far behind as this node says nothing about the revision awaited here.
    Behind behind =
        behindByKind.compute(mirror.kind(), (k, b) -> b != null && b.isAheadOf(mirror) ? b : news);
    requestIfDue(mirror, behind);
  }

  /**
   * Returns the time since a peer first reported a newer copy than this node had at the previous
   * {@link #tick}; zero if none did.
   */
  public long behindMs(KindMirror mirror) {
    Behind behind = behindByKind.get(mirror.kind());
    return behind == null ? 0 : clock.nowMs() - behind.sinceMs();
  }

  /** Requests the copies that this node's own watches did not deliver in time. */
  public void tick() {
    mirrors
        .values()
        .forEach(
            mirror -> {
              Behind behind = behindByKind.get(mirror.kind());
              if (behind != null && behind.isAheadOf(mirror)) {
                requestIfDue(mirror, behind);
              } else {
                behindByKind.remove(mirror.kind());
              }
            });
  }

  private void requestIfDue(KindMirror mirror, Behind behind) {
    long nowMs = clock.nowMs();
    boolean withinGrace = mirror.isWatching() && nowMs - behind.sinceMs() < WATCH_GRACE_MS;
    if (!behind.isAheadOf(mirror)
        || withinGrace
        || nowMs < requestDeadlineMs.getOrDefault(mirror.kind(), 0L)) {
      return;
    }
    String kind = mirror.kind();
    requestDeadlineMs.put(kind, nowMs + REQUEST_TIMEOUT_MS);
    mirror.restart();
    MirrorRequest.Builder mirrorRequest =
        MirrorRequest.newBuilder().setKind(kind).setAcceptsPacked(true);
    PeerFrame request = PeerFrame.newBuilder().setMirrorRequest(mirrorRequest).build();
    CompletableFuture<Void> unused =
        peers
            .request(behind.node(), request, REQUEST_TIMEOUT_MS)
            .thenCompose(reply -> copies.unpack(behind.node(), reply.getMirrorSnapshot()))
            .thenAccept(this::onSnapshot)
            .exceptionally(
                failure -> {
                  // The next heartbeat of any peer that is ahead names another source.
                  behindByKind.remove(kind, behind);
                  requestDeadlineMs.remove(kind);
                  failureListener.accept(behind.node(), failure);
                  return null;
                });
  }

  private void onSnapshot(MirrorSnapshot snapshot) {
    KindMirror mirror = mirrors.get(snapshot.getKind());
    if (mirror != null) {
      requestDeadlineMs.remove(mirror.kind());
      if (mirror.replaceIfNewer(snapshot)) {
        copyListener.run();
      } else {
        behindByKind.remove(mirror.kind());
      }
    }
  }

  /** Returns the copy that a peer requested; empty if the kind is not mirrored here. */
  public Optional<MirrorSnapshot> answer(MirrorRequest request) {
    return Optional.ofNullable(mirrors.get(request.getKind()))
        .map(KindMirror::snapshot)
        .map(snapshot -> request.getAcceptsPacked() ? copies.pack(snapshot) : snapshot);
  }
}
