package org.currantslip.core.mirror;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StorePosition;
import org.currantslip.schema.MirrorChanges;
import org.currantslip.schema.MirrorWatch;
import org.currantslip.schema.PeerFrame;

/**
 * Lists and watches through peers that watch the store, or the store itself if there is none.
 *
 * <p>One watcher, or the store, sends the changes; another watcher announces them, so that a silent
 * source does not hide them.
 */
public final class RelayedFeed implements KindStore {
  /** Time beyond the wait after which a watcher's reply is considered lost; two round trips. */
  private static final long REPLY_MARGIN_MS = 1_000;

  /** A node that lost all its peers would otherwise wait for each of them in turn. */
  private static final int MAX_ASKED_WATCHERS = 2;

  private static final StorePosition NONE = StorePosition.NONE;

  private final KindStore store;
  private final PeerNetwork peers;
  private final MirrorCopies copies;
  private final StoreWatchers watchers;
  private final StoreGate gate;

  private final Clock clock;

  /** The latest watch of each kind; the caller has given up earlier ones. */
  private final Map<String, FollowedWatch> followed = new HashMap<>();

  private RelayedFeed(
      KindStore store,
      PeerNetwork peers,
      MirrorCopies copies,
      StoreWatchers watchers,
      StoreGate gate,
      Clock clock) {
    this.store = store;
    this.peers = peers;
    this.copies = copies;
    this.watchers = watchers;
    this.gate = gate;
    this.clock = clock;
  }

  /** Returns a feed that prefers watchers over the store. */
  public static RelayedFeed create(
      KindStore store,
      PeerNetwork peers,
      MirrorCopies copies,
      StoreWatchers watchers,
      Clock clock) {
    return new RelayedFeed(
        store, peers, copies, watchers, StoreGate.create(clock, watchers::isWatcher), clock);
  }

  /** Asks the announcers of changes for those that no watcher has sent. */
  public void tick() {
    List.copyOf(followed.values()).forEach(FollowedWatch::tick);
  }

  @Override
  public CompletableFuture<KindPage> listKind(String kind, String startAfter) {
    return listKind(kind, startAfter, MAX_ASKED_WATCHERS);
  }

  private CompletableFuture<KindPage> listKind(String kind, String startAfter, int watchersLeft) {
    Optional<String> watcher =
        startAfter.isEmpty() && watchersLeft > 0 ? watchers.watcher() : Optional.empty();
    return watcher
        .map(
            name ->
                listThrough(name, kind)
                    .thenApply(RelayedFeed::toPage)
                    .exceptionallyCompose(failure -> listKind(kind, startAfter, watchersLeft - 1)))
        .orElseGet(
            () ->
                fromStore(
                    () -> store.listKind(kind, startAfter),
                    name -> askDuringOutage(name, kind, NONE, 0).thenApply(RelayedFeed::toPage)));
  }

  private CompletableFuture<KindChanges> listThrough(String watcher, String kind) {
    FollowedWatch list = startWatch(kind);
    list.addSource(send(list, watcher, kind, NONE, 0));
    watchers.announcer().ifPresent(name -> list.onAnnounced(() -> send(list, name, kind, NONE, 0)));
    return list.result();
  }

  @Override
  public CompletableFuture<KindPage> listKindStale(String kind, String startAfter) {
    return watchers.watcher().isPresent()
        ? listKind(kind, startAfter)
        : gate.call(() -> store.listKindStale(kind, startAfter));
  }

  /** Makes a call to the store, or asks a watcher instead while the store fails. */
  private <T> CompletableFuture<T> fromStore(
      Supplier<CompletableFuture<T>> storeCall, Function<String, CompletableFuture<T>> ask) {
    Optional<String> watcher = gate.isClosed() ? watchers.watcherDuringOutage() : Optional.empty();
    return watcher
        .map(
            name ->
                ask.apply(name)
                    .exceptionallyCompose(
                        failure ->
                            CompletableFuture.failedFuture(
                                StoreException.of(
                                    StoreException.Kind.DEFERRED, "the store fails, " + failure))))
        .orElseGet(() -> gate.call(storeCall));
  }

  private static KindPage toPage(KindChanges copy) {
    return new KindPage(
        copy.changes().stream().map(KindChanges.Change::object).toList(), false, copy.position());
  }

  @Override
  public CompletableFuture<KindChanges> watchKind(String kind, StorePosition after, long waitMs) {
    FollowedWatch watch = startWatch(kind);
    watch.addSource(
        watchers
            .watcher()
            .map(name -> send(watch, name, kind, after, waitMs))
            .orElseGet(
                () ->
                    fromStore(
                        () -> store.watchKind(kind, after, waitMs),
                        name -> askDuringOutage(name, kind, after, waitMs))));
    awaitAnnouncement(watch, kind, after, waitMs, MAX_ASKED_WATCHERS);
    return watch.result();
  }

  private FollowedWatch startWatch(String kind) {
    FollowedWatch watch = FollowedWatch.create(clock);
    followed.put(kind, watch);
    return watch;
  }

  /** Returns whether the caller still waits for this watch and has not replaced it. */
  private boolean isAwaited(FollowedWatch watch, String kind) {
    return followed.get(kind) == watch && !watch.result().isDone();
  }

  private void awaitAnnouncement(
      FollowedWatch watch, String kind, StorePosition after, long waitMs, int announcersLeft) {
    String announcer = watchers.announcer().orElse("");
    if (announcer.isEmpty() || announcersLeft == 0 || !isAwaited(watch, kind)) {
      return;
    }
    MirrorWatch.Builder query = watchOf(kind, after, waitMs).setAnnounceOnly(true);
    CompletableFuture<Void> unused =
        ask(announcer, query, () -> isAwaited(watch, kind))
            .thenCompose(reply -> copies.unpack(announcer, reply))
            .handle(
                (reply, failure) -> {
                  if (failure != null) {
                    awaitAnnouncement(watch, kind, after, waitMs, announcersLeft - 1);
                  } else if (reply.getOutcome() == MirrorChanges.Outcome.ANNOUNCED) {
                    watch.onAnnounced(() -> send(watch, announcer, kind, after, 0));
                  } else if (reply.getObjectCount() + reply.getRemovedCount() > 0) {
                    // Nodes of earlier builds send the changes.
                    watch.addSource(
                        CompletableFuture.completedFuture(MirrorCodec.changesFromProto(reply)));
                  }
                  return null;
                });
  }

  /** Asks a watcher for changes; one that gives no answer while it is awaited is avoided. */
  private CompletableFuture<KindChanges> send(
      FollowedWatch watch, String watcher, String kind, StorePosition after, long waitMs) {
    return complete(
        watcher, ask(watcher, watchOf(kind, after, waitMs), () -> isAwaited(watch, kind)));
  }

  /** Asks a watcher in place of the store; one that gives no answer is avoided. */
  private CompletableFuture<KindChanges> askDuringOutage(
      String watcher, String kind, StorePosition after, long waitMs) {
    return complete(watcher, ask(watcher, watchOf(kind, after, waitMs), () -> true));
  }

  @Override
  public boolean watchesAreComplete() {
    return watchers.watcher().isPresent();
  }

  @Override
  public CompletableFuture<Long> probe() {
    return store.probe();
  }

  @Override
  public CompletableFuture<Long> putStatus(
      String kind, String name, ByteString status, long expectedVersion) {
    return store.putStatus(kind, name, status, expectedVersion);
  }

  private static MirrorWatch.Builder watchOf(String kind, StorePosition after, long waitMs) {
    return MirrorWatch.newBuilder()
        .setKind(kind)
        .setEra(after.era())
        .setAfterRevision(after.revision())
        .setWaitMs((int) waitMs)
        .setAcceptsPacked(true);
  }

  private CompletableFuture<MirrorChanges> ask(
      String watcher, MirrorWatch.Builder watch, BooleanSupplier awaited) {
    PeerFrame frame = PeerFrame.newBuilder().setMirrorWatch(watch).build();
    return peers
        .request(watcher, frame, watch.getWaitMs() + REPLY_MARGIN_MS)
        .handle(
            (reply, failure) -> {
              boolean answered = failure == null && reply.hasMirrorChanges();
              MirrorChanges changes =
                  answered ? reply.getMirrorChanges() : MirrorChanges.getDefaultInstance();
              if (!answered || changes.getOutcome() == MirrorChanges.Outcome.NOT_WATCHING) {
                // Nodes of earlier builds do not answer a watch that another one has replaced.
                if (answered || awaited.getAsBoolean()) {
                  watchers.avoid(watcher, answered ? changes.getReason() : String.valueOf(failure));
                }
                throw StoreException.of(StoreException.Kind.SOURCE_GONE, watcher + " is no source");
              }
              return changes;
            });
  }

  /** Fetches the copy to which a reply refers, and fails if the reply has no changes to give. */
  private CompletableFuture<KindChanges> complete(
      String watcher, CompletableFuture<MirrorChanges> reply) {
    return reply
        .thenCompose(
            changes -> {
              if (changes.getOutcome() != MirrorChanges.Outcome.COMPLETE) {
                throw StoreException.of(
                    StoreException.Kind.HISTORY_GONE, watcher + " returned no complete changes");
              }
              return copies.unpack(watcher, changes);
            })
        .thenApply(MirrorCodec::changesFromProto)
        .exceptionallyCompose(failure -> CompletableFuture.failedFuture(asStoreFailure(failure)));
  }

  /** A copy that could not be fetched whole is continued when it is asked for again. */
  private static StoreException asStoreFailure(Throwable failure) {
    return StoreException.find(failure)
        .orElseGet(
            () -> StoreException.of(StoreException.Kind.SOURCE_GONE, String.valueOf(failure)));
  }
}
