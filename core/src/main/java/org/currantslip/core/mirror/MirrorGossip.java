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
import org.currantslip.schema.MirrorRequest;
import org.currantslip.schema.MirrorRevision;
import org.currantslip.schema.MirrorSnapshot;
import org.currantslip.schema.PeerFrame;

/**
 * Brings mirrors that fell behind up to date from peers.
 *
 * <p>Heartbeats carry the revision at which each copy last changed. A node that has not seen that
 * revision asks the peer for its whole copy, unless its own watch delivers the change first.
 */
public final class MirrorGossip {
  /** Leaves the own watch time to deliver a change of which a peer speaks. */
  private static final long PATIENCE_MS = 300;

  private static final long ASK_TIMEOUT_MS = 1_000;

  private final ImmutableMap<String, KindMirror> mirrors;
  private final PeerNetwork peers;
  private final Clock clock;
  private final BiConsumer<String, Throwable> onMissed;
  private final Map<String, Long> behindSinceMs = new HashMap<>();
  private final Map<String, Long> askedUntilMs = new HashMap<>();

  private MirrorGossip(
      List<KindMirror> mirrors,
      PeerNetwork peers,
      Clock clock,
      BiConsumer<String, Throwable> onMissed) {
    this.mirrors = Maps.uniqueIndex(mirrors, KindMirror::kind);
    this.peers = peers;
    this.clock = clock;
    this.onMissed = onMissed;
  }

  /**
   * Returns a gossip over these mirrors.
   *
   * @param onMissed told of a peer that did not send its copy; another heartbeat asks again
   */
  public static MirrorGossip create(
      List<KindMirror> mirrors,
      PeerNetwork peers,
      Clock clock,
      BiConsumer<String, Throwable> onMissed) {
    return new MirrorGossip(mirrors, peers, clock, onMissed);
  }

  /** Returns what heartbeats tell of this node's copies. */
  public List<MirrorRevision> revisions() {
    return mirrors.values().stream()
        .map(
            m ->
                MirrorRevision.newBuilder()
                    .setKind(m.kind())
                    .setChangedRevision(m.changedRevision())
                    .build())
        .toList();
  }

  /** Takes what a peer's heartbeat tells of its copies. */
  public void onRevisions(String node, List<MirrorRevision> revisions) {
    revisions.forEach(r -> onRevision(node, r));
  }

  private void onRevision(String node, MirrorRevision theirs) {
    KindMirror mine = mirrors.get(theirs.getKind());
    if (mine == null) {
      return;
    }
    String kind = mine.kind();
    if (theirs.getChangedRevision() <= mine.revision()) {
      behindSinceMs.remove(kind);
      return;
    }
    long nowMs = clock.nowMs();
    long sinceMs = behindSinceMs.computeIfAbsent(kind, k -> nowMs);
    boolean patient = mine.isLinked() && nowMs - sinceMs < PATIENCE_MS;
    if (patient || nowMs < askedUntilMs.getOrDefault(kind, 0L)) {
      return;
    }
    askedUntilMs.put(kind, nowMs + ASK_TIMEOUT_MS);
    mine.recheck();
    PeerFrame ask =
        PeerFrame.newBuilder().setMirrorRequest(MirrorRequest.newBuilder().setKind(kind)).build();
    CompletableFuture<Void> unused =
        peers
            .ask(node, ask, ASK_TIMEOUT_MS)
            .thenAccept(reply -> onSnapshot(reply.getMirrorSnapshot()))
            .exceptionally(
                failure -> {
                  onMissed.accept(node, failure);
                  return null;
                });
  }

  private void onSnapshot(MirrorSnapshot snapshot) {
    KindMirror mine = mirrors.get(snapshot.getKind());
    if (mine != null) {
      askedUntilMs.remove(mine.kind());
      mine.offer(snapshot);
    }
  }

  /** Returns the copy that a peer asks for. */
  public Optional<MirrorSnapshot> answer(MirrorRequest request) {
    return Optional.ofNullable(mirrors.get(request.getKind())).map(KindMirror::snapshot);
  }
}
