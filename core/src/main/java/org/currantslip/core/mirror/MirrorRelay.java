package org.currantslip.core.mirror;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.StorePosition;
import org.currantslip.schema.MirrorChanges;
import org.currantslip.schema.MirrorWatch;

/** Answers watches of peers from this node's mirrors while this node watches the store itself. */
public final class MirrorRelay {
  private record PendingWatch(
      String follower,
      KindMirror mirror,
      StorePosition after,
      long untilMs,
      boolean announceOnly,
      Consumer<MirrorChanges> reply) {
    private boolean hasChanges() {
      return mirror.changedPosition().isAfter(after);
    }
  }

  /**
   * Time for which a watcher that has not read the store yet lets a follower wait for a full copy.
   * Nodes that start together would otherwise all read the store; shorter than the time after which
   * a follower gives up.
   */
  private static final long MAX_COPY_WAIT_MS = 800;

  private record PendingCopy(KindMirror mirror, long untilMs, Consumer<MirrorChanges> reply) {}

  private final ImmutableMap<String, KindMirror> mirrors;
  private final BooleanSupplier isWatcher;
  private final MirrorCopies copies;
  private final Clock clock;
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private final List<PendingCopy> pendingCopies = new ArrayList<>();

  private MirrorRelay(
      List<KindMirror> mirrors, BooleanSupplier isWatcher, MirrorCopies copies, Clock clock) {
    this.mirrors = Maps.uniqueIndex(mirrors, KindMirror::kind);
    this.isWatcher = isWatcher;
    this.copies = copies;
    this.clock = clock;
  }

  /**
   * Returns a relay of these mirrors.
   *
   * @param isWatcher whether this node watches the store itself
   */
  public static MirrorRelay create(
      List<KindMirror> mirrors, BooleanSupplier isWatcher, MirrorCopies copies, Clock clock) {
    return new MirrorRelay(mirrors, isWatcher, copies, clock);
  }

  /**
   * Handles a peer's watch; replies at once, on the next change or when the wait ends. A watch
   * replaces the follower's earlier one of the same kind, which is answered without changes: a
   * follower takes a watch that is not answered for one of a watcher that has failed.
   */
  public void onWatch(String follower, MirrorWatch watch, Consumer<MirrorChanges> receiver) {
    Consumer<MirrorChanges> reply =
        changes -> receiver.accept(watch.getAcceptsPacked() ? copies.pack(changes) : changes);
    Optional.ofNullable(mirrors.get(watch.getKind()))
        .ifPresent(
            mirror -> {
              if (watch.getAfterRevision() == 0) {
                onCopyRequest(new PendingCopy(mirror, clock.nowMs() + MAX_COPY_WAIT_MS, reply));
                return;
              }
              long untilMs = clock.nowMs() + watch.getWaitMs();
              StorePosition after = new StorePosition(watch.getEra(), watch.getAfterRevision());
              PendingWatch pending =
                  new PendingWatch(
                      follower, mirror, after, untilMs, watch.getAnnounceOnly(), reply);
              endReplaced(pending);
              if (isDue(pending)) {
                answer(pending);
              } else {
                pendingWatches.add(pending);
              }
            });
  }

  private void endReplaced(PendingWatch replacement) {
    List<PendingWatch> replaced =
        pendingWatches.stream()
            .filter(w -> w.mirror() == replacement.mirror())
            .filter(w -> w.follower().equals(replacement.follower()))
            .toList();
    pendingWatches.removeAll(replaced);
    replaced.forEach(
        w ->
            w.reply()
                .accept(
                    MirrorChanges.newBuilder()
                        .setEra(w.after().era())
                        .setRevision(w.after().revision())
                        .build()));
  }

  private void onCopyRequest(PendingCopy request) {
    if (isCopyDue(request)) {
      answerCopy(request);
    } else {
      pendingCopies.add(request);
    }
  }

  private boolean isCopyDue(PendingCopy request) {
    boolean loading =
        isWatcher.getAsBoolean() && request.mirror().position().equals(StorePosition.NONE);
    return !loading || clock.nowMs() >= request.untilMs();
  }

  private void answerCopy(PendingCopy request) {
    request
        .reply()
        .accept(
            canAnswer(request.mirror())
                ? fullCopy(request.mirror())
                : notWatching(request.mirror()));
  }

  /** Returns whether peers wait for this node to send them changes. */
  public boolean hasFollowers() {
    return pendingWatches.stream().anyMatch(w -> !w.announceOnly());
  }

  /** Answers the watches that are due: content changed, wait ended or store lost. */
  public void tick() {
    answerIf(this::isDue);
    List<PendingCopy> ready = pendingCopies.stream().filter(this::isCopyDue).toList();
    pendingCopies.removeAll(ready);
    ready.forEach(this::answerCopy);
  }

  private void answerIf(Predicate<PendingWatch> due) {
    List<PendingWatch> ready = pendingWatches.stream().filter(due).toList();
    pendingWatches.removeAll(ready);
    ready.forEach(this::answer);
  }

  private boolean isDue(PendingWatch pending) {
    return !canAnswer(pending) || pending.hasChanges() || clock.nowMs() >= pending.untilMs();
  }

  private void answer(PendingWatch pending) {
    if (!canAnswer(pending)) {
      pending.reply().accept(notWatching(pending.mirror()));
      return;
    }
    if (pending.announceOnly() && pending.hasChanges()) {
      pending.reply().accept(outcome(MirrorChanges.Outcome.ANNOUNCED));
      return;
    }
    pending
        .reply()
        .accept(
            pending
                .mirror()
                .changesAfter(pending.after())
                .map(MirrorCodec::changesToProto)
                .orElseGet(() -> outcome(MirrorChanges.Outcome.HISTORY_GONE)));
  }

  private static MirrorChanges outcome(MirrorChanges.Outcome outcome) {
    return MirrorChanges.newBuilder().setOutcome(outcome).build();
  }

  /** Returns whether this node can answer; it cannot if it has not reached the peer's era. */
  private boolean canAnswer(PendingWatch pending) {
    return canAnswer(pending.mirror())
        && pending.after().era() <= pending.mirror().position().era();
  }

  private boolean canAnswer(KindMirror mirror) {
    return isWatcher.getAsBoolean() && mirror.isConnected();
  }

  private MirrorChanges notWatching(KindMirror mirror) {
    return MirrorChanges.newBuilder()
        .setOutcome(MirrorChanges.Outcome.NOT_WATCHING)
        .setReason(mirror.kind() + ": " + whyNotWatching(mirror))
        .build();
  }

  private String whyNotWatching(KindMirror mirror) {
    if (!isWatcher.getAsBoolean()) {
      return "another node watches the store";
    }
    if (mirror.position().equals(StorePosition.NONE)) {
      return "nothing read from the store yet";
    }
    return mirror.isConnected() ? "no copy of this era" : "store lost, " + mirror.lastFailure();
  }

  private static MirrorChanges fullCopy(KindMirror mirror) {
    StorePosition position = mirror.position();
    MirrorChanges.Builder copy =
        MirrorChanges.newBuilder().setEra(position.era()).setRevision(position.revision());
    mirror.objects().values().stream().map(MirrorCodec::objectToProto).forEach(copy::addObject);
    return copy.build();
  }
}
