package org.currantslip.core.allowance;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.currantslip.schema.AllowanceReport;
import org.currantslip.schema.SlotGrant;
import org.currantslip.schema.SlotNeed;

/** This node as holder and as keeper of slots of brittle endpoints, and the messages between. */
final class SlotLoans {
  private final SenderPlaces places;
  private final ToIntFunction<String> slotsOf;
  private final SlotHolder holder;
  private final SlotKeeper keeper;
  private final Map<String, AllowanceReport.Builder> outbox = new TreeMap<>();
  private final Deque<SlotGrant> ownGrants = new ArrayDeque<>();
  private AllowanceLinks links = AllowanceLinks.none();

  private SlotLoans(SenderPlaces places, ToIntFunction<String> slotsOf, SplittableRandom random) {
    this.places = places;
    this.slotsOf = slotsOf;
    holder = SlotHolder.create(new Random(random.nextLong()));
    keeper = SlotKeeper.create(places, random, this::queueGrant);
  }

  /**
   * Creates loans of a node that has no slot.
   *
   * @param slotsOf returns the slots of an endpoint, or zero if it is unknown
   */
  static SlotLoans create(
      SenderPlaces places, ToIntFunction<String> slotsOf, SplittableRandom random) {
    return new SlotLoans(places, slotsOf, random);
  }

  void connect(AllowanceLinks newLinks) {
    links = newLinks;
  }

  private void queueGrant(String node, SlotGrant grant) {
    if (node.equals(links.selfName())) {
      ownGrants.add(grant);
    } else {
      outgoing(node).addGrant(grant);
    }
  }

  private AllowanceReport.Builder outgoing(String node) {
    return outbox.computeIfAbsent(node, n -> AllowanceReport.newBuilder());
  }

  int free(String endpointId, long nowMs) {
    return holder.free(endpointId, nowMs);
  }

  List<String> endpointsWithSlots() {
    return holder.endpointsWithSlots();
  }

  boolean onSent(String endpointId) {
    return holder.onSent(endpointId);
  }

  void onLoad(String endpointId, int waiting) {
    holder.onLoad(endpointId, waiting);
  }

  void onDeclined(String endpointId) {
    holder.onDeclined(endpointId);
  }

  /** Ends a request that used a slot. */
  void onEnded(String endpointId, String service, long nowMs) {
    holder.onEnded(endpointId, links.waiting(service) > 0, nowMs);
    flush(nowMs);
  }

  /** States the needs of the requests that wait for any of these endpoints of a service. */
  void setDemand(String service, Collection<String> endpointIds, long nowMs) {
    holder.setDemand(endpointIds, links.waiting(service), nowMs);
  }

  /** Gives back the slots of endpoints at which requests need no slot any more. */
  void releaseAllBut(Set<String> endpointIds, long nowMs) {
    holder.releaseAllBut(endpointIds, nowMs);
  }

  void onReport(String node, AllowanceReport report, long nowMs) {
    for (SlotNeed need : report.getNeedList()) {
      onNeed(node, need, nowMs);
    }
    report.getGrantList().forEach(g -> holder.onGrant(g, nowMs));
    flush(nowMs);
    if (report.getGrantCount() > 0) {
      links.onRoom();
    }
  }

  private void onNeed(String node, SlotNeed need, long nowMs) {
    int slots = slotsOf.applyAsInt(need.getEndpoint());
    if (slots > 0) {
      keeper.onNeed(node, need, slots, nowMs);
    }
  }

  /** Lends and asks for what is due. */
  void tick(long nowMs) {
    keeper.tick(slotsOf, nowMs);
    if (flush(nowMs)) {
      links.onRoom();
    }
  }

  /** Sends what is due; returns whether this node has lent slots to itself. */
  private boolean flush(long nowMs) {
    boolean lentToSelf = false;
    boolean more = true;
    while (more) {
      for (SlotNeed need : holder.takeNeeds(nowMs)) {
        String first = places.first(need.getEndpoint()).orElse(links.selfName());
        if (first.equals(links.selfName())) {
          onNeed(first, need, nowMs);
        } else {
          outgoing(first).addNeed(need);
        }
      }
      more = !ownGrants.isEmpty();
      lentToSelf |= more;
      while (!ownGrants.isEmpty()) {
        holder.onGrant(ownGrants.remove(), nowMs);
      }
    }
    Map<String, AllowanceReport.Builder> due = new HashMap<>(outbox);
    outbox.clear();
    due.forEach((node, report) -> links.send(node, report.build()));
    return lentToSelf;
  }

  int lentCount() {
    return keeper.lentCount();
  }

  int heldCount() {
    return holder.heldCount();
  }
}
