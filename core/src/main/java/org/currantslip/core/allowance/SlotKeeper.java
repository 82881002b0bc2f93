package org.currantslip.core.allowance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;
import org.currantslip.schema.SlotGrant;
import org.currantslip.schema.SlotNeed;

/**
 * Lends the slots of the endpoints at which this node has the first place, to one node at a time.
 *
 * <p>As many slots are lent as the endpoint has, and as many more as requests were seen waiting
 * there without a refusal since.
 */
final class SlotKeeper {
  /** Time without word of its holder after which a slot is lent to another node. */
  static final long LAPSE_MS = 2_000;

  /** Bounds the wait inside the endpoint, where the order of requests is no longer ours. */
  private static final double MAX_QUEUE_RATIO = 0.5;

  private static final int MAX_WANTED = 64;
  private static final double MS_PER_S = 1_000;

  private final SenderPlaces places;
  private final BiConsumer<String, SlotGrant> grants;
  private final Map<String, Kept> keptById = new HashMap<>();
  private long lastNumber;
  private long lastActiveMs = Long.MIN_VALUE;

  private SlotKeeper(
      SenderPlaces places, SplittableRandom random, BiConsumer<String, SlotGrant> grants) {
    this.places = places;
    this.grants = grants;
    // Numbers of different keepers must not meet.
    lastNumber = random.nextLong() >>> 2;
  }

  /**
   * Creates a keeper that has lent nothing.
   *
   * @param grants receives what is to be sent to holders
   */
  static SlotKeeper create(
      SenderPlaces places, SplittableRandom random, BiConsumer<String, SlotGrant> grants) {
    return new SlotKeeper(places, random, grants);
  }

  /** A node that has a slot, and when it last said so. */
  private record Loan(String holder, long heardMs) {}

  /** Loans of one endpoint. */
  private static final class Kept {
    private final Map<Long, Loan> loans = new HashMap<>();
    private final Deque<String> waiting = new ArrayDeque<>();
    private final Map<String, Integer> wanted = new LinkedHashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private long lendsFromMs;
    private int queue;
    private double withheld;
    private long withheldMs;

    private Kept(long lendsFromMs) {
      this.lendsFromMs = lendsFromMs;
    }

    private int capacity(int slots, long nowMs) {
      withheld = Math.max(0, withheld - (nowMs - withheldMs) / MS_PER_S);
      withheldMs = nowMs;
      int known = (int) Math.min(queue, MAX_QUEUE_RATIO * slots);
      return Math.max(1, slots + known - (int) Math.ceil(withheld));
    }

    private void onDeclined(int count, int slots) {
      queue = 0;
      withheld = Math.min(slots, withheld + count);
    }

    private void setWanted(String holder, int count) {
      if (count <= 0) {
        wanted.remove(holder);
        waiting.remove(holder);
      } else if (wanted.put(holder, Math.min(MAX_WANTED, count)) == null) {
        waiting.add(holder);
      }
    }
  }

  /** Handles what a node needs of an endpoint; a node without the first place ignores it. */
  void onNeed(String holder, SlotNeed need, int slots, long nowMs) {
    checkPause(nowMs);
    if (places.placeOf(need.getEndpoint()) != 0) {
      return;
    }
    Kept kept = keptById.computeIfAbsent(need.getEndpoint(), e -> new Kept(lendsFrom(nowMs)));
    need.getReleasedList().forEach(kept.loans::remove);
    // The answer lists all slots of the holder, which may use them from then on.
    kept.loans.replaceAll((n, l) -> l.holder().equals(holder) ? new Loan(holder, nowMs) : l);
    if (need.getDeclined() > 0) {
      int unused = kept.capacity(slots, nowMs);
      kept.onDeclined(need.getDeclined(), slots);
    } else {
      kept.queue = Math.max(kept.queue, need.getWaiting());
    }
    kept.sequences.put(holder, need.getSequence());
    kept.setWanted(holder, need.getWanted());
    Set<String> answered = lend(kept, slots, nowMs);
    answered.add(holder);
    answered.forEach(h -> answer(need.getEndpoint(), kept, h));
  }

  /** Slots that an earlier keeper has lent may still be in use for a while. */
  private long lendsFrom(long nowMs) {
    return nowMs - places.changedMs() < LAPSE_MS ? nowMs + LAPSE_MS : nowMs;
  }

  /** Lends free slots in the order of asking; returns the nodes that got one. */
  private Set<String> lend(Kept kept, int slots, long nowMs) {
    Set<String> lentTo = new HashSet<>();
    kept.loans.values().removeIf(l -> nowMs - l.heardMs() > LAPSE_MS);
    int capacity = kept.capacity(slots, nowMs);
    while (nowMs >= kept.lendsFromMs && kept.loans.size() < capacity) {
      String next = kept.waiting.poll();
      if (next == null) {
        break;
      }
      kept.loans.put(++lastNumber, new Loan(next, nowMs));
      lentTo.add(next);
      int left = kept.wanted.getOrDefault(next, 0) - 1;
      kept.wanted.remove(next);
      kept.setWanted(next, left);
    }
    return lentTo;
  }

  private void answer(String endpointId, Kept kept, String holder) {
    SlotGrant.Builder grant =
        SlotGrant.newBuilder()
            .setEndpoint(endpointId)
            .setSequence(kept.sequences.getOrDefault(holder, 0L));
    kept.loans.forEach(
        (number, loan) -> {
          if (loan.holder().equals(holder)) {
            grant.addSlot(number);
          }
        });
    grants.accept(holder, grant.build());
  }

  /** Needs sent during a pause are about to arrive; until then little is known of the holders. */
  private void checkPause(long nowMs) {
    if (lastActiveMs != Long.MIN_VALUE && nowMs - lastActiveMs > LAPSE_MS) {
      keptById.values().forEach(k -> k.lendsFromMs = nowMs + LAPSE_MS);
    }
    lastActiveMs = nowMs;
  }

  /** Lends what has become free, and forgets endpoints that another node keeps. */
  void tick(ToIntFunction<String> slotsOf, long nowMs) {
    checkPause(nowMs);
    keptById
        .entrySet()
        .removeIf(
            e ->
                slotsOf.applyAsInt(e.getKey()) <= 0
                    || places.placeOf(e.getKey()) != 0
                    || (e.getValue().loans.isEmpty()
                        && e.getValue().wanted.isEmpty()
                        && nowMs - e.getValue().withheldMs > 10 * LAPSE_MS));
    keptById.forEach(
        (id, kept) -> lend(kept, slotsOf.applyAsInt(id), nowMs).forEach(h -> answer(id, kept, h)));
  }

  /** Returns the number of slots lent. */
  int lentCount() {
    return keptById.values().stream().mapToInt(k -> k.loans.size()).sum();
  }
}
