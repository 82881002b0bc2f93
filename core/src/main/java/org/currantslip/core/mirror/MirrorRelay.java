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
import org.currantslip.schema.MirrorChanges;
import org.currantslip.schema.MirrorWatch;

/** Answers the watches of peers from this node's copies while it watches the store itself. */
public final class MirrorRelay {
  private record Waiting(
      KindMirror mirror, long afterRevision, long untilMs, Consumer<MirrorChanges> reply) {}

  private final ImmutableMap<String, KindMirror> mirrors;
  private final BooleanSupplier isWatcher;
  private final Clock clock;
  private final List<Waiting> waiting = new ArrayList<>();

  private MirrorRelay(List<KindMirror> mirrors, BooleanSupplier isWatcher, Clock clock) {
    this.mirrors = Maps.uniqueIndex(mirrors, KindMirror::kind);
    this.isWatcher = isWatcher;
    this.clock = clock;
  }

  /**
   * Returns a relay of these copies.
   *
   * @param isWatcher whether this node watches the store itself
   */
  public static MirrorRelay create(
      List<KindMirror> mirrors, BooleanSupplier isWatcher, Clock clock) {
    return new MirrorRelay(mirrors, isWatcher, clock);
  }

  /** Takes a peer's watch; the reply comes now, with the next change or when the wait is over. */
  public void onWatch(MirrorWatch watch, Consumer<MirrorChanges> reply) {
    Optional.ofNullable(mirrors.get(watch.getKind()))
        .ifPresent(
            mirror -> {
              if (watch.getAfterRevision() == 0) {
                reply.accept(isCurrent(mirror) ? wholeCopy(mirror) : notWatching());
                return;
              }
              long untilMs = clock.nowMs() + watch.getWaitMs();
              Waiting asker = new Waiting(mirror, watch.getAfterRevision(), untilMs, reply);
              if (isDue(asker)) {
                answer(asker);
              } else {
                waiting.add(asker);
              }
            });
  }

  /** Answers the watches that a change, the end of their wait or a lost store has made due. */
  public void tick() {
    answerIf(this::isDue);
  }

  private void answerIf(Predicate<Waiting> due) {
    List<Waiting> now = waiting.stream().filter(due).toList();
    waiting.removeAll(now);
    now.forEach(this::answer);
  }

  private boolean isDue(Waiting w) {
    return !isCurrent(w.mirror())
        || w.mirror().changedRevision() > w.afterRevision()
        || clock.nowMs() >= w.untilMs();
  }

  private void answer(Waiting w) {
    if (!isCurrent(w.mirror())) {
      w.reply().accept(notWatching());
      return;
    }
    MirrorChanges gone =
        MirrorChanges.newBuilder().setOutcome(MirrorChanges.Outcome.HISTORY_GONE).build();
    w.reply()
        .accept(w.mirror().changesAfter(w.afterRevision()).map(MirrorCodec::changes).orElse(gone));
  }

  private boolean isCurrent(KindMirror mirror) {
    return isWatcher.getAsBoolean() && mirror.isLinked();
  }

  private static MirrorChanges notWatching() {
    return MirrorChanges.newBuilder().setOutcome(MirrorChanges.Outcome.NOT_WATCHING).build();
  }

  private static MirrorChanges wholeCopy(KindMirror mirror) {
    MirrorChanges.Builder copy = MirrorChanges.newBuilder().setRevision(mirror.revision());
    mirror.objects().values().stream().map(MirrorCodec::object).forEach(copy::addObject);
    return copy.build();
  }
}
