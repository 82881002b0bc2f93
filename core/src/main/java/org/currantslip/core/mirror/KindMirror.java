package org.currantslip.core.mirror;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StorePosition;
import org.currantslip.schema.MirrorSnapshot;
import org.jspecify.annotations.Nullable;

/**
 * A local copy of all objects of one kind, filled by a list and kept current by a long-polling
 * watch.
 *
 * <p>A watch that ends without a change is followed by a list, because a store that drops its
 * history may omit changes from a watch. A list that may be stale does for that if it is not older
 * than the answer of the watch.
 *
 * <p>A node that cannot reach the store takes full copies from peers. Copies are ordered by store
 * position, so a mirror never reverts to an older one. When the era of the store rises, a list
 * replaces the copy, since the store may have lost what this node read before. Confined to the
 * decision thread.
 */
public final class KindMirror {
  /** Fraction by which retry delays are randomized, so that nodes do not retry in step. */
  private static final double JITTER = 0.5;

  /** Time beyond the wait of a watch after which its reply is considered lost. */
  private static final long WATCH_MARGIN_MS = 2_000;

  /** A change in the connection to the store. */
  public enum Link {
    LOST,
    REGAINED,
    /** The store returned from an older copy of its data, possibly without a noticeable outage. */
    RESTORED
  }

  private final String kind;
  private final KindStore kindStore;
  private final Clock clock;
  private final MirrorOptions options;
  private final SplittableRandom random;
  private final MirrorContent content = MirrorContent.create();
  private Runnable changeListener = () -> {};
  private Consumer<Link> linkListener = link -> {};
  private boolean listComplete;

  /** Whether the next list only has to prove that this copy lacks nothing. */
  private boolean verifying;

  /** Position that such a list must have reached. */
  private StorePosition verifyFrom = StorePosition.NONE;

  private long currentCall;
  private boolean callInFlight;
  private long callDeadlineMs;
  private long nextCallMs;
  private int consecutiveFailures;
  private long linkLostMs;
  private long lastOutageMs;
  private String lastFailure = "";

  private KindMirror(
      String kind, KindStore kindStore, Clock clock, MirrorOptions options, long seed) {
    this.kind = kind;
    this.kindStore = kindStore;
    this.clock = clock;
    this.options = options;
    random = new SplittableRandom(seed);
  }

  /** Returns an empty mirror. */
  public static KindMirror create(
      String kind, KindStore kindStore, Clock clock, MirrorOptions options, long seed) {
    return new KindMirror(kind, kindStore, clock, options, seed);
  }

  /** Sets the listener that runs after the content has changed. */
  public void setChangeListener(Runnable listener) {
    changeListener = listener;
  }

  /** Sets the listener for loss and recovery of the connection to the store. */
  public void setLinkListener(Consumer<Link> listener) {
    linkListener = listener;
  }

  /**
   * Sets the function that reads the version that an object's content carries, independent of the
   * store. A copy with a lower version of an object is never taken, whatever its position.
   */
  public void setContentVersion(ToLongFunction<KindObject> function) {
    content.setContentVersion(function);
  }

  /** Returns the kind of the mirrored objects. */
  public String kind() {
    return kind;
  }

  /** Returns the objects by name. */
  public ImmutableMap<String, KindObject> objects() {
    return content.objects();
  }

  /** Returns the store position up to which this copy is complete. */
  public StorePosition position() {
    return content.position();
  }

  /** Returns the store position at which the content last changed. */
  public StorePosition changedPosition() {
    return content.changedPosition();
  }

  /** Returns the highest version that the content itself carries; zero if it carries none. */
  public long contentVersion() {
    return content.contentVersion();
  }

  /** Returns whether the objects are known, if there are any. */
  public boolean isKnown() {
    return listComplete || content.isPresent();
  }

  /** Returns whether the last call to the store succeeded. */
  public boolean isConnected() {
    return consecutiveFailures == 0 && content.isPresent();
  }

  /** Returns whether a watch waits for changes after this copy, as far as this node knows. */
  public boolean isWatching() {
    return isConnected() && listComplete;
  }

  /** Returns the duration of the last store outage that ended. */
  public long lastOutageMs() {
    return lastOutageMs;
  }

  /** Returns why the connection to the store was last lost; empty if it never was. */
  public String lastFailure() {
    return lastFailure;
  }

  /** Starts the next store call when it is due. */
  public void tick() {
    long nowMs = clock.nowMs();
    if (callInFlight && nowMs >= callDeadlineMs) {
      currentCall++;
      callInFlight = false;
      onFailure(StoreException.of(StoreException.Kind.NOT_DONE, "timed out waiting for a reply"));
    }
    if (callInFlight || nowMs < nextCallMs) {
      return;
    }
    callInFlight = true;
    callDeadlineMs = nowMs + options.watchMs() + WATCH_MARGIN_MS;
    long thisCall = ++currentCall;
    if (listComplete) {
      kindStore
          .watchKind(kind, position(), options.watchMs())
          .whenComplete((changes, failure) -> onWatched(thisCall, changes, failure));
    } else {
      listFrom("", new ArrayList<>(), StorePosition.NONE, thisCall);
    }
  }

  private void listFrom(
      String after, List<KindObject> collected, StorePosition firstPage, long thisCall) {
    CompletableFuture<KindPage> page =
        verifying ? kindStore.listKindStale(kind, after) : kindStore.listKind(kind, after);
    CompletableFuture<KindPage> unused =
        page.whenComplete(
            (answer, failure) -> onListed(answer, failure, collected, firstPage, thisCall));
  }

  private void onListed(
      @Nullable KindPage page,
      @Nullable Throwable failure,
      List<KindObject> collected,
      StorePosition firstPage,
      long thisCall) {
    if (thisCall != currentCall) {
      return;
    }
    if (page == null) {
      callInFlight = false;
      onFailure(failure);
      return;
    }
    if (page.position().era() < position().era()) {
      callInFlight = false;
      onFailure(staleEra(page.position()));
      return;
    }
    // The watch starts at the first page, so it repeats changes made while later pages were read.
    StorePosition start = firstPage.equals(StorePosition.NONE) ? page.position() : firstPage;
    if (page.position().era() != start.era()) {
      callInFlight = false;
      return;
    }
    collected.addAll(page.objects());
    if (page.hasMore() && !page.objects().isEmpty()) {
      listFrom(page.objects().get(page.objects().size() - 1).name(), collected, start, thisCall);
      return;
    }
    callInFlight = false;
    listComplete = !verifying || !verifyFrom.isAfter(start);
    verifying = false;
    onSuccess();
    if (!content.isPresent()) {
      nextCallMs = clock.nowMs() + options.settleMs();
    }
    if (!position().isAfter(start)) {
      replace(collected, start, start);
    }
  }

  private StoreException staleEra(StorePosition answered) {
    return StoreException.of(
        StoreException.Kind.NOT_DONE, "answer of era " + answered.era() + " after " + position());
  }

  private void onWatched(
      long thisCall, @Nullable KindChanges changes, @Nullable Throwable failure) {
    if (thisCall != currentCall) {
      return;
    }
    callInFlight = false;
    if (changes == null) {
      onFailure(failure);
      return;
    }
    StorePosition answered = changes.position();
    if (answered.era() < position().era()) {
      onFailure(staleEra(answered));
      return;
    }
    onSuccess();
    if (answered.era() > position().era()) {
      // The changes follow a revision that this era assigned to other changes.
      listComplete = false;
      return;
    }
    if (changes.changes().isEmpty()) {
      // A watch may omit changes without an error; only a list proves that nothing changed.
      listComplete = changes.complete();
      verifying = !listComplete;
      verifyFrom = Comparators.max(position(), answered);
      return;
    }
    if (content.apply(changes)) {
      nextCallMs = clock.nowMs() + options.settleMs();
      changeListener.run();
    }
  }

  private void replace(List<KindObject> newObjects, StorePosition at, StorePosition changedAt) {
    MirrorContent.Replacement replacement = content.replace(newObjects, at, changedAt);
    if (replacement.restored()) {
      linkListener.accept(Link.RESTORED);
    }
    if (replacement.changed()) {
      changeListener.run();
    }
  }

  private void onSuccess() {
    nextCallMs = 0;
    if (consecutiveFailures == 0) {
      return;
    }
    consecutiveFailures = 0;
    lastOutageMs = clock.nowMs() - linkLostMs;
    linkListener.accept(Link.REGAINED);
  }

  private void onFailure(@Nullable Throwable failure) {
    if (StoreException.isOfKind(failure, StoreException.Kind.SOURCE_GONE)) {
      nextCallMs = 0;
      return;
    }
    if (StoreException.isOfKind(failure, StoreException.Kind.DEFERRED)
        && consecutiveFailures == 0) {
      // Another mirror finds out whether the store is back; this copy may not have lost it.
      nextCallMs = clock.nowMs() + options.initialRetryMs();
      return;
    }
    listComplete = false;
    verifying = false;
    if (StoreException.isOfKind(failure, StoreException.Kind.HISTORY_GONE)) {
      nextCallMs = 0;
      return;
    }
    long nowMs = clock.nowMs();
    if (consecutiveFailures == 0) {
      linkLostMs = nowMs;
      lastFailure = String.valueOf(failure);
      linkListener.accept(Link.LOST);
    }
    int doublings = Math.min(consecutiveFailures, Long.SIZE / 4);
    consecutiveFailures++;
    long delayMs = Math.min(options.maxRetryMs(), options.initialRetryMs() << doublings);
    nextCallMs = nowMs + (long) (delayMs * (1 - JITTER * random.nextDouble()));
  }

  /** Returns the changes after a revision, for a peer; empty if the log no longer covers them. */
  public Optional<KindChanges> changesAfter(StorePosition after) {
    return content.changesAfter(after);
  }

  /** Returns a snapshot of this copy, for a peer that is behind. */
  public MirrorSnapshot snapshot() {
    return content.snapshot(kind);
  }

  /** Replaces this copy by a peer's if that is newer; returns whether it was. */
  public boolean replaceIfNewer(MirrorSnapshot snapshot) {
    StorePosition at = new StorePosition(snapshot.getEra(), snapshot.getRevision());
    List<KindObject> newObjects =
        snapshot.getObjectList().stream().map(MirrorCodec::objectFromProto).toList();
    if (!at.isAfter(position())) {
      boolean newer = content.putNewer(newObjects);
      if (newer) {
        changeListener.run();
      }
      return newer;
    }
    replace(newObjects, at, new StorePosition(at.era(), snapshot.getChangedRevision()));
    // The current watch did not report what the peer has; it may hang on a dead connection.
    currentCall++;
    callInFlight = false;
    listComplete = false;
    return true;
  }

  /** Abandons the current call because the store does not answer this node. */
  public void onStoreSilent() {
    if (isConnected()) {
      currentCall++;
      callInFlight = false;
      onFailure(StoreException.of(StoreException.Kind.NOT_DONE, "the store is silent"));
    }
  }

  /**
   * Abandons the current watch, which may hang on a dead connection, and asks again for the changes
   * after this copy. If a watch may omit changes, all objects are listed again.
   */
  public void restart() {
    if (listComplete) {
      currentCall++;
      callInFlight = false;
      listComplete = kindStore.watchesAreComplete();
    }
  }
}
