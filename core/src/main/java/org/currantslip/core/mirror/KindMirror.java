package org.currantslip.core.mirror;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.MapDifference;
import com.google.common.collect.Maps;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindFeed;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.StoreException;
import org.currantslip.schema.MirrorSnapshot;
import org.jspecify.annotations.Nullable;

/**
 * A copy of all objects of one kind: listed, then kept current by one waiting watch.
 *
 * <p>A watch that ends without a change is followed by a list, as a store that drops its history
 * may leave changes out of a watch.
 *
 * <p>A node that cannot reach the store takes whole copies from peers. Copies are ordered by store
 * revision, so a mirror never goes back. Owned by the decision thread.
 */
public final class KindMirror {
  /** Pauses differ by up to this share, so that nodes do not return to the store together. */
  private static final double JITTER = 0.5;

  /** Time over the wait of a watch after which its answer counts as lost. */
  private static final long WATCH_MARGIN_MS = 2_000;

  /** What happened to the connection to the store. */
  public enum Link {
    LOST,
    REGAINED
  }

  private final String kind;
  private final KindFeed feed;
  private final Clock clock;
  private final MirrorOptions options;
  private final SplittableRandom random;
  private final TreeMap<String, KindObject> objects = new TreeMap<>();
  private final ChangeLog log = ChangeLog.create();
  private Runnable onChange = () -> {};
  private Consumer<Link> onLink = link -> {};
  private @Nullable ImmutableMap<String, KindObject> view;
  private long revision;
  private long changedRevision;
  private boolean listed;
  private long call;
  private boolean underWay;
  private long callEndMs;
  private long nextMs;
  private int failures;
  private long lostSinceMs;
  private long lastOutageMs;

  private KindMirror(String kind, KindFeed feed, Clock clock, MirrorOptions options, long seed) {
    this.kind = kind;
    this.feed = feed;
    this.clock = clock;
    this.options = options;
    random = new SplittableRandom(seed);
  }

  /** Returns an empty mirror. */
  public static KindMirror create(
      String kind, KindFeed feed, Clock clock, MirrorOptions options, long seed) {
    return new KindMirror(kind, feed, clock, options, seed);
  }

  /** Sets what runs after the content changed. */
  public void onChange(Runnable listener) {
    onChange = listener;
  }

  /** Sets who is told when the store is lost and when it is back. */
  public void onLink(Consumer<Link> listener) {
    onLink = listener;
  }

  /** Returns the kind of object. */
  public String kind() {
    return kind;
  }

  /** Returns the objects by name. */
  public ImmutableMap<String, KindObject> objects() {
    ImmutableMap<String, KindObject> known = view;
    if (known == null) {
      known = ImmutableMap.copyOf(objects);
      view = known;
    }
    return known;
  }

  /** Returns the store revision as of which this copy is complete; zero when it is empty. */
  public long revision() {
    return revision;
  }

  /** Returns the store revision at which the content last changed. */
  public long changedRevision() {
    return changedRevision;
  }

  /** Returns whether the last call to the store succeeded. */
  public boolean isLinked() {
    return failures == 0 && revision > 0;
  }

  /** Returns how long the store was out of reach before it last came back. */
  public long lastOutageMs() {
    return lastOutageMs;
  }

  /** Starts the next call when it is due. */
  public void tick() {
    long nowMs = clock.nowMs();
    if (underWay && nowMs >= callEndMs) {
      call++;
      underWay = false;
      failed(StoreException.of(StoreException.Kind.NOT_DONE, "no answer in time"));
    }
    if (underWay || nowMs < nextMs) {
      return;
    }
    underWay = true;
    callEndMs = nowMs + options.watchMs() + WATCH_MARGIN_MS;
    long mine = ++call;
    if (listed) {
      feed.watchKind(kind, revision, options.watchMs())
          .whenComplete((changes, failure) -> onWatched(mine, changes, failure));
    } else {
      listFrom("", new ArrayList<>(), 0, mine);
    }
  }

  private void listFrom(String after, List<KindObject> seen, long asOf, long mine) {
    feed.listKind(kind, after)
        .whenComplete((page, failure) -> onListed(page, failure, seen, asOf, mine));
  }

  private void onListed(
      @Nullable KindPage page,
      @Nullable Throwable failure,
      List<KindObject> seen,
      long asOf,
      long mine) {
    if (mine != call) {
      return;
    }
    if (page == null) {
      underWay = false;
      failed(failure);
      return;
    }
    seen.addAll(page.objects());
    // Changes made while later pages are read come again from the watch.
    long from = asOf == 0 ? page.revision() : asOf;
    if (page.more() && !page.objects().isEmpty()) {
      listFrom(page.objects().get(page.objects().size() - 1).name(), seen, from, mine);
      return;
    }
    underWay = false;
    listed = true;
    succeeded();
    if (from >= revision) {
      replace(seen, from, from);
    }
  }

  private void onWatched(long mine, @Nullable KindChanges changes, @Nullable Throwable failure) {
    if (mine != call) {
      return;
    }
    underWay = false;
    if (changes == null) {
      failed(failure);
      return;
    }
    succeeded();
    if (changes.changes().isEmpty()) {
      // A watch may have lost its changes without a word; only a list shows that nothing changed.
      listed = changes.proved();
      return;
    }
    List<String> changed =
        changes.changes().stream().filter(this::apply).map(c -> c.object().name()).toList();
    revision = Math.max(revision, changes.revision());
    log.add(revision, changed);
    if (!changed.isEmpty()) {
      changedRevision = revision;
      nextMs = clock.nowMs() + options.settleMs();
      notifyChange();
    }
  }

  private boolean apply(KindChanges.Change change) {
    KindObject object = change.object();
    if (change.removed()) {
      return objects.remove(object.name()) != null;
    }
    KindObject known = objects.get(object.name());
    if (known != null && known.version() >= object.version()) {
      return false;
    }
    objects.put(object.name(), object);
    return true;
  }

  private void replace(List<KindObject> all, long asOf, long changedAt) {
    TreeMap<String, KindObject> fresh = new TreeMap<>();
    all.forEach(o -> fresh.put(o.name(), o));
    MapDifference<String, KindObject> difference = Maps.difference(objects, fresh);
    final boolean changed = revision == 0 || !difference.areEqual();
    if (revision == 0) {
      log.startAt(asOf);
    } else {
      log.add(asOf, difference.entriesDiffering().keySet());
      log.add(asOf, difference.entriesOnlyOnLeft().keySet());
      log.add(asOf, difference.entriesOnlyOnRight().keySet());
    }
    objects.clear();
    objects.putAll(fresh);
    revision = asOf;
    if (changed) {
      changedRevision = changedAt;
      notifyChange();
    }
  }

  private void notifyChange() {
    view = null;
    onChange.run();
  }

  private void succeeded() {
    nextMs = 0;
    if (failures == 0) {
      return;
    }
    failures = 0;
    lastOutageMs = clock.nowMs() - lostSinceMs;
    onLink.accept(Link.REGAINED);
  }

  private void failed(@Nullable Throwable failure) {
    listed = false;
    if (isHistoryGone(failure)) {
      nextMs = 0;
      return;
    }
    long nowMs = clock.nowMs();
    if (failures == 0) {
      lostSinceMs = nowMs;
      onLink.accept(Link.LOST);
    }
    int doublings = Math.min(failures, Long.SIZE / 4);
    failures++;
    long pause = Math.min(options.lastRetryMs(), options.firstRetryMs() << doublings);
    nextMs = nowMs + (long) (pause * (1 - JITTER * random.nextDouble()));
  }

  private static boolean isHistoryGone(@Nullable Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return cause instanceof StoreException e && e.kind() == StoreException.Kind.HISTORY_GONE;
  }

  /** Returns what changed after a revision, for a peer; empty when that is no longer known. */
  public Optional<KindChanges> changesAfter(long after) {
    return log.namesAfter(after)
        .map(
            names -> {
              List<KindChanges.Change> changes = names.stream().map(this::lastChange).toList();
              return new KindChanges(changes, revision, true);
            });
  }

  private KindChanges.Change lastChange(String name) {
    KindObject known = objects.get(name);
    return known != null
        ? new KindChanges.Change(known, false)
        : new KindChanges.Change(
            new KindObject(name, revision, ByteString.EMPTY, ByteString.EMPTY), true);
  }

  /** Returns this copy, for a peer that is behind. */
  public MirrorSnapshot snapshot() {
    MirrorSnapshot.Builder snapshot =
        MirrorSnapshot.newBuilder()
            .setKind(kind)
            .setRevision(revision)
            .setChangedRevision(changedRevision);
    objects.values().stream().map(MirrorCodec::object).forEach(snapshot::addObject);
    return snapshot.build();
  }

  /** Takes a peer's copy if it is newer; returns whether it was. */
  public boolean offer(MirrorSnapshot snapshot) {
    if (snapshot.getRevision() <= revision) {
      return false;
    }
    List<KindObject> all = snapshot.getObjectList().stream().map(MirrorCodec::object).toList();
    replace(all, snapshot.getRevision(), snapshot.getChangedRevision());
    // The watch under way did not report what the peer knew; it may hang on a dead connection.
    call++;
    underWay = false;
    listed = false;
    return true;
  }

  /** Gives up the watch under way, which may hang on a dead connection, and lists again. */
  public void recheck() {
    if (listed) {
      call++;
      underWay = false;
      listed = false;
    }
  }
}
