package org.currantslip.core.mirror;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
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
 * Lists and watches through a peer that watches the store, or the store itself if there is none.
 */
public final class RelayedFeed implements KindStore {
  /** Time beyond the wait after which a watcher's reply is considered lost; two round trips. */
  private static final long REPLY_MARGIN_MS = 1_000;

  /** A node that lost all its peers would otherwise wait for each of them in turn. */
  private static final int MAX_ASKED_WATCHERS = 2;

  private final KindStore store;
  private final PeerNetwork peers;
  private final MirrorCopies copies;
  private final StoreWatchers watchers;
  private final StoreGate gate;

  /** Number of the latest call of each kind; the caller has given up earlier ones. */
  private final Map<String, Long> latestCall = new HashMap<>();

  private long calls;

  private RelayedFeed(
      KindStore store,
      PeerNetwork peers,
      MirrorCopies copies,
      StoreWatchers watchers,
      StoreGate gate) {
    this.store = store;
    this.peers = peers;
    this.copies = copies;
    this.watchers = watchers;
    this.gate = gate;
  }

  /** Returns a feed that prefers watchers over the store. */
  public static RelayedFeed create(
      KindStore store,
      PeerNetwork peers,
      MirrorCopies copies,
      StoreWatchers watchers,
      Clock clock) {
    return new RelayedFeed(
        store, peers, copies, watchers, StoreGate.create(clock, watchers::isWatcher));
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
                askWatcher(name, kind, StorePosition.NONE, 0)
                    .thenApply(RelayedFeed::toPage)
                    .exceptionallyCompose(failure -> listKind(kind, startAfter, watchersLeft - 1)))
        .orElseGet(
            () ->
                fromStore(
                    () -> store.listKind(kind, startAfter),
                    name ->
                        askWatcher(name, kind, StorePosition.NONE, 0)
                            .thenApply(RelayedFeed::toPage)));
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

  private static KindPage toPage(MirrorChanges copy) {
    return new KindPage(
        copy.getObjectList().stream().map(MirrorCodec::objectFromProto).toList(),
        false,
        MirrorCodec.positionOf(copy));
  }

  @Override
  public CompletableFuture<KindChanges> watchKind(String kind, StorePosition after, long waitMs) {
    return watchers
        .watcher()
        .map(name -> askWatcher(name, kind, after, waitMs).thenApply(MirrorCodec::changesFromProto))
        .orElseGet(
            () ->
                fromStore(
                    () -> store.watchKind(kind, after, waitMs),
                    name ->
                        askWatcher(name, kind, after, waitMs)
                            .thenApply(MirrorCodec::changesFromProto)));
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

  /** Asks a watcher; one that gives no answer while it is awaited is avoided by the next calls. */
  private CompletableFuture<MirrorChanges> askWatcher(
      String watcher, String kind, StorePosition after, long waitMs) {
    MirrorWatch.Builder watch =
        MirrorWatch.newBuilder()
            .setKind(kind)
            .setEra(after.era())
            .setAfterRevision(after.revision())
            .setWaitMs((int) waitMs)
            .setAcceptsPacked(true);
    PeerFrame frame = PeerFrame.newBuilder().setMirrorWatch(watch).build();
    long thisCall = ++calls;
    latestCall.put(kind, thisCall);
    return peers
        .request(watcher, frame, waitMs + REPLY_MARGIN_MS)
        .handle(
            (reply, failure) -> {
              boolean answered = failure == null && reply.hasMirrorChanges();
              MirrorChanges changes =
                  answered ? reply.getMirrorChanges() : MirrorChanges.getDefaultInstance();
              if (!answered || changes.getOutcome() == MirrorChanges.Outcome.NOT_WATCHING) {
                // Nodes of earlier builds do not answer a watch that another one has replaced.
                if (answered || latestCall.get(kind) == thisCall) {
                  watchers.avoid(watcher, answered ? changes.getReason() : String.valueOf(failure));
                }
                throw StoreException.of(StoreException.Kind.SOURCE_GONE, watcher + " is no source");
              }
              if (changes.getOutcome() != MirrorChanges.Outcome.COMPLETE) {
                throw StoreException.of(
                    StoreException.Kind.HISTORY_GONE, watcher + " returned no complete changes");
              }
              return changes;
            })
        .thenCompose(changes -> copies.unpack(watcher, changes))
        .exceptionallyCompose(failure -> CompletableFuture.failedFuture(asStoreFailure(failure)));
  }

  /** A copy that could not be fetched whole is continued when it is asked for again. */
  private static StoreException asStoreFailure(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return cause instanceof StoreException known
        ? known
        : StoreException.of(StoreException.Kind.SOURCE_GONE, cause.toString());
  }
}
