package org.currantslip.core.mirror;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.StoreException;
import org.jspecify.annotations.Nullable;

/**
 * A watch with two sources: the first one sends the changes, the other one announces them and is
 * asked to send them if the first has not done so within a grace period.
 *
 * <p>A source that is silent or slow thus delays a change by the grace period at most, without
 * having to be detected first.
 */
final class FollowedWatch {
  /** Time that the first source has to send a change which the other one has announced. */
  static final long ANNOUNCED_GRACE_MS = 150;

  private final Clock clock;
  private final CompletableFuture<KindChanges> result = new CompletableFuture<>();
  private @Nullable Supplier<CompletableFuture<KindChanges>> announced;
  private long announcedMs;
  private int pendingSources;

  private FollowedWatch(Clock clock) {
    this.clock = clock;
  }

  static FollowedWatch create(Clock clock) {
    return new FollowedWatch(clock);
  }

  /** Returns the first answer; fails once no source can answer any more. */
  CompletableFuture<KindChanges> result() {
    return result;
  }

  /** Lets an answer end the watch. */
  void addSource(CompletableFuture<KindChanges> answer) {
    pendingSources++;
    CompletableFuture<Void> unused =
        answer.handle(
            (changes, failure) -> {
              pendingSources--;
              if (failure == null) {
                result.complete(changes);
              } else if (pendingSources == 0
                  || !StoreException.isOfKind(failure, StoreException.Kind.SOURCE_GONE)) {
                result.completeExceptionally(failure);
              }
              return null;
            });
  }

  /** Notes that another source has the changes, and how they are requested from it. */
  void onAnnounced(Supplier<CompletableFuture<KindChanges>> request) {
    if (announcedMs == 0) {
      announced = request;
      announcedMs = clock.nowMs();
    }
  }

  /** Requests the changes that were announced and not sent within the grace period. */
  void tick() {
    Supplier<CompletableFuture<KindChanges>> request = announced;
    if (request != null && !result.isDone() && clock.nowMs() - announcedMs >= ANNOUNCED_GRACE_MS) {
      announced = null;
      addSource(request.get());
    }
  }
}
