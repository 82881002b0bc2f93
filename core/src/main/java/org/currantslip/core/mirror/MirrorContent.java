package org.currantslip.core.mirror;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.MapDifference;
import com.google.common.collect.Maps;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.StorePosition;
import org.currantslip.schema.MirrorSnapshot;
import org.jspecify.annotations.Nullable;

/**
 * The objects of a mirror and the store position up to which they are complete.
 *
 * <p>Positions never decrease. An object whose content carries a version is never replaced by one
 * with a lower version, whatever its position.
 */
final class MirrorContent {
  /**
   * What a replacement of the content did.
   *
   * @param changed whether any object differs, or these are the first ones
   * @param restored whether the store has returned from an older copy of its data
   */
  record Replacement(boolean changed, boolean restored) {}

  private final TreeMap<String, KindObject> objects = new TreeMap<>();
  private final ChangeLog changeLog = ChangeLog.create();
  private ToLongFunction<KindObject> contentVersionOf = object -> 0;
  private @Nullable ImmutableMap<String, KindObject> cachedObjects;
  private StorePosition position = StorePosition.NONE;
  private StorePosition changedPosition = StorePosition.NONE;
  private long contentVersion;

  private MirrorContent() {}

  /** Returns content without objects, of no position. */
  static MirrorContent create() {
    return new MirrorContent();
  }

  void setContentVersion(ToLongFunction<KindObject> function) {
    contentVersionOf = function;
  }

  /** Returns the objects by name. */
  ImmutableMap<String, KindObject> objects() {
    ImmutableMap<String, KindObject> snapshot = cachedObjects;
    if (snapshot == null) {
      snapshot = ImmutableMap.copyOf(objects);
      cachedObjects = snapshot;
    }
    return snapshot;
  }

  StorePosition position() {
    return position;
  }

  StorePosition changedPosition() {
    return changedPosition;
  }

  /** Returns the highest version that the content itself carries; zero if it carries none. */
  long contentVersion() {
    return contentVersion;
  }

  /** Returns whether the content is that of some position of the store. */
  boolean isPresent() {
    return !position.equals(StorePosition.NONE);
  }

  /** Applies changes that follow this content; returns whether any object differs. */
  boolean apply(KindChanges changes) {
    List<String> changed =
        changes.changes().stream().filter(this::apply).map(c -> c.object().name()).toList();
    position = Comparators.max(position, changes.position());
    changeLog.add(position.revision(), changed);
    if (changed.isEmpty()) {
      return false;
    }
    onChange(position);
    return true;
  }

  private boolean apply(KindChanges.Change change) {
    KindObject object = change.object();
    if (change.removed()) {
      return objects.remove(object.name()) != null;
    }
    KindObject existing = objects.get(object.name());
    if (existing != null && (existing.version() >= object.version() || isNewer(existing, object))) {
      return false;
    }
    objects.put(object.name(), object);
    return true;
  }

  private boolean isNewer(KindObject existing, KindObject other) {
    return contentVersionOf.applyAsLong(existing) > contentVersionOf.applyAsLong(other);
  }

  /** Replaces all objects by those of a position that is not older. */
  Replacement replace(List<KindObject> newObjects, StorePosition at, StorePosition changedAt) {
    TreeMap<String, KindObject> replacement = new TreeMap<>();
    newObjects.forEach(o -> replacement.put(o.name(), o));
    objects.values().stream()
        .filter(o -> contentVersionOf.applyAsLong(o) > 0)
        .forEach(o -> replacement.merge(o.name(), o, (n, e) -> isNewer(e, n) ? e : n));
    final boolean restored = at.era() > position.era() && isPresent();
    final boolean isFirst = !isPresent();
    MapDifference<String, KindObject> difference = Maps.difference(objects, replacement);
    if (isFirst || restored) {
      changeLog.startAt(at.revision());
    } else {
      changeLog.add(at.revision(), difference.entriesDiffering().keySet());
      changeLog.add(at.revision(), difference.entriesOnlyOnLeft().keySet());
      changeLog.add(at.revision(), difference.entriesOnlyOnRight().keySet());
    }
    objects.clear();
    objects.putAll(replacement);
    position = at;
    boolean changed = isFirst || restored || !difference.areEqual();
    if (changed) {
      onChange(changedAt);
    }
    return new Replacement(changed, restored);
  }

  /** Takes the objects with a higher content version than these; returns whether there are any. */
  boolean putNewer(List<KindObject> candidates) {
    List<KindObject> newer =
        candidates.stream()
            .filter(o -> contentVersionOf.applyAsLong(o) > 0)
            .filter(
                o ->
                    Optional.ofNullable(objects.get(o.name())).map(e -> isNewer(o, e)).orElse(true))
            .toList();
    newer.forEach(o -> objects.put(o.name(), o));
    if (newer.isEmpty()) {
      return false;
    }
    onChange(changedPosition);
    return true;
  }

  private void onChange(StorePosition at) {
    changedPosition = at;
    cachedObjects = null;
    contentVersion = objects.values().stream().mapToLong(contentVersionOf).max().orElse(0);
  }

  /** Returns the changes after a position, for a peer; empty if the log no longer covers them. */
  Optional<KindChanges> changesAfter(StorePosition after) {
    if (after.era() != position.era()) {
      return Optional.empty();
    }
    return changeLog
        .namesAfter(after.revision())
        .map(
            names -> {
              List<KindChanges.Change> changes = names.stream().map(this::latestChange).toList();
              return new KindChanges(changes, position, true);
            });
  }

  private KindChanges.Change latestChange(String name) {
    KindObject existing = objects.get(name);
    return existing != null
        ? new KindChanges.Change(existing, false)
        : new KindChanges.Change(
            new KindObject(name, position.revision(), ByteString.EMPTY, ByteString.EMPTY), true);
  }

  /** Returns all objects, for a peer that is behind. */
  MirrorSnapshot snapshot(String kind) {
    MirrorSnapshot.Builder snapshot =
        MirrorSnapshot.newBuilder()
            .setKind(kind)
            .setEra(position.era())
            .setRevision(position.revision())
            .setChangedRevision(changedPosition.revision());
    objects.values().stream().map(MirrorCodec::objectToProto).forEach(snapshot::addObject);
    return snapshot.build();
  }
}
