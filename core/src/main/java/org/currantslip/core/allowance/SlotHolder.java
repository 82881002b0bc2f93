package org.currantslip.core.allowance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.currantslip.schema.SlotGrant;
import org.currantslip.schema.SlotNeed;

/** Slots of brittle endpoints that this node has been lent, and its needs of more. */
final class SlotHolder {
  /** Shorter than the time after which the keeper lends a slot to another node. */
  private static final long VALID_MS = SlotKeeper.LAPSE_MS / 2;

  private static final long RENEWAL_INTERVAL_MS = 250;

  /** Time after which an unanswered need is stated to another endpoint's keeper as well. */
  private static final long PATIENCE_MS = 75;

  /** Other nodes get a slot after some requests, also while this node has more of them. */
  private static final long MAX_HOLD_MS = 150;

  /** A free slot that waiting requests do not use is at an endpoint that they cannot use. */
  private static final long MAX_IDLE_MS = 100;

  private static final long AVOID_MS = 1_000;
  private static final int MAX_WANTED = 8;

  private final Random random;
  private final Map<String, Loans> loansById = new HashMap<>();
  private long lastSequence;

  private SlotHolder(Random random) {
    this.random = random;
  }

  static SlotHolder create(Random random) {
    return new SlotHolder(random);
  }

  /** A slot that was lent to this node. */
  private static final class Slot {
    private final long number;
    private final long lentMs;
    private boolean inUse;
    private long freeSinceMs;

    private Slot(long number, long lentMs) {
      this.number = number;
      this.lentMs = lentMs;
      freeSinceMs = lentMs;
    }
  }

  /** Slots of one endpoint. */
  private static final class Loans {
    private final List<Slot> slots = new ArrayList<>();
    private final TreeMap<Long, Long> sentMsBySequence = new TreeMap<>();
    private final List<Long> released = new ArrayList<>();

    /** Numbers given back, with the need that said so. */
    private final Map<Long, Long> releaseSequences = new HashMap<>();

    private long answeredSentMs = Long.MIN_VALUE / 2;
    private int inUseWithoutSlot;
    private int wanted;
    private long askedMs;
    private int declined;
    private int waiting;
    private long needSentMs;
    private long avoidUntilMs;
    private boolean due;

    private boolean isValid(long nowMs) {
      return nowMs - answeredSentMs <= VALID_MS;
    }

    private void release(Slot slot) {
      slots.remove(slot);
      releaseNumber(slot.number);
    }

    private void releaseNumber(long number) {
      released.add(number);
      due = true;
    }

    private void want(int count, long nowMs) {
      if (count != wanted) {
        wanted = count;
        askedMs = nowMs;
        due = true;
      }
    }

    /** The requests on slots that are no longer lent go on, and must not free other slots. */
    private void removeNotIn(Set<Long> lent) {
      inUseWithoutSlot +=
          (int) slots.stream().filter(s -> s.inUse && !lent.contains(s.number)).count();
      slots.removeIf(s -> !lent.contains(s.number));
    }

    private boolean isIdle() {
      return slots.isEmpty()
          && inUseWithoutSlot == 0
          && wanted == 0
          && released.isEmpty()
          && declined == 0;
    }
  }

  /** Returns how many requests this node may send to the endpoint now. */
  int free(String endpointId, long nowMs) {
    Loans loans = loansById.get(endpointId);
    return loans == null || !loans.isValid(nowMs)
        ? 0
        : (int) loans.slots.stream().filter(s -> !s.inUse).count();
  }

  /** Returns the endpoints at which this node has slots. */
  List<String> endpointsWithSlots() {
    return loansById.entrySet().stream()
        .filter(e -> !e.getValue().slots.isEmpty())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Uses a free slot for a request; returns whether there was one. */
  boolean onSent(String endpointId) {
    Loans loans = loansById.get(endpointId);
    Optional<Slot> free =
        loans == null ? Optional.empty() : loans.slots.stream().filter(s -> !s.inUse).findFirst();
    free.ifPresent(s -> s.inUse = true);
    return free.isPresent();
  }

  /** Ends a request that used a slot; the slot is kept for the next one if more requests wait. */
  void onEnded(String endpointId, boolean moreWaiting, long nowMs) {
    Loans loans = loansById.get(endpointId);
    if (loans == null) {
      return;
    }
    if (loans.inUseWithoutSlot > 0) {
      loans.inUseWithoutSlot--;
      return;
    }
    loans.slots.stream()
        .filter(s -> s.inUse)
        .findFirst()
        .ifPresent(
            slot -> {
              slot.inUse = false;
              slot.freeSinceMs = nowMs;
              if (!moreWaiting || nowMs - slot.lentMs > MAX_HOLD_MS) {
                loans.release(slot);
              }
            });
  }

  /** Counts a request that the endpoint refused for lack of room. */
  void onDeclined(String endpointId) {
    Loans loans = loansById.computeIfAbsent(endpointId, e -> new Loans());
    loans.declined++;
    loans.due = true;
  }

  /** Records how many requests wait inside the endpoint. */
  void onLoad(String endpointId, int waiting) {
    Loans loans = loansById.get(endpointId);
    if (loans != null) {
      loans.waiting = Math.max(loans.waiting, waiting);
    }
  }

  /** Sets how many requests wait at this node for any of these endpoints. */
  void setDemand(Collection<String> endpointIds, int demand, long nowMs) {
    int expected = 0;
    List<String> unasked = new ArrayList<>();
    for (String id : endpointIds) {
      Loans loans = loansById.computeIfAbsent(id, e -> new Loans());
      dropLapsed(loans, nowMs);
      releaseIdle(loans, demand, nowMs);
      if (demand == 0) {
        loans.want(0, nowMs);
        continue;
      }
      expected += free(id, nowMs);
      if (loans.wanted == 0 && nowMs >= loans.avoidUntilMs) {
        unasked.add(id);
      } else if (nowMs - loans.askedMs < PATIENCE_MS) {
        expected += loans.wanted;
      }
    }
    if (expected < demand) {
      ask(unasked, endpointIds, demand - expected, demand, nowMs);
    }
  }

  /** Gives back the free slots of all other endpoints, and asks for none there. */
  void releaseAllBut(Set<String> endpointIds, long nowMs) {
    loansById.forEach(
        (id, loans) -> {
          if (!endpointIds.contains(id)) {
            dropLapsed(loans, nowMs);
            releaseIdle(loans, 0, nowMs);
            loans.want(0, nowMs);
          }
        });
  }

  private void ask(
      List<String> unasked, Collection<String> all, int missing, int demand, long nowMs) {
    Collections.shuffle(unasked, random);
    unasked.stream().limit(missing).forEach(id -> loans(id).want(1, nowMs));
    if (missing > unasked.size() && !all.isEmpty()) {
      int each = Math.min(MAX_WANTED, (demand + all.size() - 1) / all.size());
      all.stream()
          .map(this::loans)
          .filter(l -> l.wanted > 0 && l.wanted < each)
          .forEach(l -> l.want(each, nowMs));
    }
  }

  private Loans loans(String endpointId) {
    return loansById.computeIfAbsent(endpointId, e -> new Loans());
  }

  private static void dropLapsed(Loans loans, long nowMs) {
    if (nowMs - loans.answeredSentMs > SlotKeeper.LAPSE_MS) {
      loans.slots.removeIf(s -> !s.inUse);
    }
  }

  private static void releaseIdle(Loans loans, int demand, long nowMs) {
    List<Slot> idle =
        loans.slots.stream()
            .filter(s -> !s.inUse && (demand == 0 || nowMs - s.freeSinceMs > MAX_IDLE_MS))
            .toList();
    if (!idle.isEmpty() && demand > 0) {
      loans.want(0, nowMs);
      loans.avoidUntilMs = nowMs + AVOID_MS;
    }
    idle.forEach(loans::release);
  }

  /** Returns the needs that the keepers must learn of now. */
  List<SlotNeed> takeNeeds(long nowMs) {
    List<SlotNeed> needs = new ArrayList<>();
    loansById.forEach(
        (id, loans) -> {
          boolean keeps = loans.wanted > 0 || !loans.slots.isEmpty();
          if (loans.due || (keeps && nowMs - loans.needSentMs >= RENEWAL_INTERVAL_MS)) {
            needs.add(need(id, loans, nowMs));
          }
        });
    loansById.values().removeIf(l -> l.isIdle() && nowMs - l.needSentMs > SlotKeeper.LAPSE_MS);
    return needs;
  }

  private SlotNeed need(String endpointId, Loans loans, long nowMs) {
    long sequence = ++lastSequence;
    final SlotNeed need =
        SlotNeed.newBuilder()
            .setEndpoint(endpointId)
            .setSequence(sequence)
            .setWanted(loans.wanted)
            .addAllReleased(loans.released)
            .setDeclined(loans.declined)
            .setWaiting(loans.waiting)
            .build();
    loans.sentMsBySequence.put(sequence, nowMs);
    loans.sentMsBySequence.values().removeIf(sentMs -> nowMs - sentMs > SlotKeeper.LAPSE_MS);
    loans.released.forEach(number -> loans.releaseSequences.put(number, sequence));
    loans.released.clear();
    loans.declined = 0;
    loans.waiting = 0;
    loans.due = false;
    loans.needSentMs = nowMs;
    return need;
  }

  /** Handles the keeper's list of the slots that are lent to this node. */
  void onGrant(SlotGrant grant, long nowMs) {
    Loans loans = loans(grant.getEndpoint());
    Long sentMs = loans.sentMsBySequence.get(grant.getSequence());
    if (sentMs == null) {
      // A grant that was held up for long may name slots that were lent again since.
      return;
    }
    loans.answeredSentMs = Math.max(loans.answeredSentMs, sentMs);
    loans.sentMsBySequence.headMap(grant.getSequence()).clear();
    Set<Long> lent = new HashSet<>(grant.getSlotList());
    loans.removeNotIn(lent);
    loans.releaseSequences.keySet().retainAll(lent);
    loans.slots.forEach(s -> lent.remove(s.number));
    lent.removeAll(loans.released);
    for (long number : lent) {
      long releaseSequence = loans.releaseSequences.getOrDefault(number, 0L);
      if (releaseSequence > grant.getSequence()) {
        continue;
      }
      // Listed by an answer to a later need, a slot that was given back shows that need to be lost.
      if (releaseSequence == 0 && loans.wanted > 0) {
        loans.slots.add(new Slot(number, nowMs));
        loans.wanted--;
        loans.askedMs = nowMs;
      } else {
        loans.releaseNumber(number);
      }
    }
  }

  /** Returns the number of slots that this node has. */
  int heldCount() {
    return loansById.values().stream().mapToInt(l -> l.slots.size()).sum();
  }
}
