package org.currantslip.core.allowance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.route.ServiceTerms;
import org.currantslip.schema.AllowanceReport;
import org.currantslip.schema.BrittleService;
import org.currantslip.schema.EndpointLimits;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.EndpointRestriction;
import org.currantslip.schema.RestrictionReport;

/**
 * Decides whether this node may send to an endpoint now, by all bounds that hold for all nodes
 * together.
 */
public final class EndpointAllowances {
  /**
   * Nodes that hear the same of an endpoint report at different moments, so that the first report
   * makes those of most others needless.
   */
  private static final long RESTRICTION_REPORT_INTERVAL_MS = 500;

  /** A shorter wait is over before most peers would send to the endpoint. */
  private static final long MIN_TOLD_WAIT_MS = 200;

  private final SenderPlaces places;
  private final BiConsumer<LogEvent, String> log;
  private final SendRestrictions restrictions = SendRestrictions.create();
  private final PeerRestrictions peerRestrictions;
  private final RequestLimits limits;
  private final ColdEndpoints cold;
  private final BrittleServices brittle = BrittleServices.create();
  private final SlotLoans loans;
  private final Map<String, EndpointRecord> endpointsById = new HashMap<>();
  private final Set<String> unreadable = new HashSet<>();
  private long nextRestrictionReportMs;
  private AllowanceLinks links = AllowanceLinks.none();

  private EndpointAllowances(
      SenderShares shares,
      SenderPlaces places,
      AllowanceOptions options,
      Function<String, ServiceTerms> terms,
      BiConsumer<LogEvent, String> log,
      long seed) {
    this.places = places;
    this.log = log;
    SplittableRandom random = new SplittableRandom(seed);
    peerRestrictions = PeerRestrictions.create(log);
    limits = RequestLimits.create(shares);
    cold = ColdEndpoints.create(places, options, terms, random.split(), log);
    loans = SlotLoans.create(places, this::slotsOf, random.split());
  }

  /** Creates allowances of a node that has these shares of the rates that endpoints name. */
  public static EndpointAllowances create(SenderShares shares) {
    return create(
        shares,
        SenderPlaces.alone(AllowanceLinks.none().selfName()),
        AllowanceOptions.none(),
        ServiceTerms::unknown,
        (event, fields) -> {},
        0);
  }

  /**
   * Creates allowances of a node in a fleet.
   *
   * @param shares parts of the rates that endpoints name
   * @param places order of the nodes that may use an endpoint that few may use
   * @param terms returns what the configuration says of a service
   * @param log receives what operators may want to know
   */
  public static EndpointAllowances create(
      SenderShares shares,
      SenderPlaces places,
      AllowanceOptions options,
      Function<String, ServiceTerms> terms,
      BiConsumer<LogEvent, String> log,
      long seed) {
    return new EndpointAllowances(shares, places, options, terms, log, seed);
  }

  /** Connects the allowances to the node's links and queue. */
  public void connect(AllowanceLinks newLinks) {
    links = newLinks;
    loans.connect(newLinks);
  }

  private int slotsOf(String endpointId) {
    EndpointRecord endpoint = endpointsById.get(endpointId);
    return endpoint == null ? 0 : endpoint.getSlots();
  }

  /** Replaces the known endpoints. */
  public void onEndpoints(List<EndpointRecord> endpoints, long nowMs) {
    endpointsById.clear();
    endpoints.forEach(e -> endpointsById.put(e.getId(), e));
    restrictions.retain(endpointsById.keySet(), nowMs);
    cold.onEndpoints(endpoints, nowMs);
  }

  /** Returns whether this node may send one more request to the endpoint now. */
  public boolean permits(EndpointRecord endpoint, long nowMs) {
    return permitsApartFromRoom(endpoint, nowMs)
        && (!brittle.isBrittle(endpoint.getService()) || loans.free(endpoint.getId(), nowMs) > 0);
  }

  private boolean permitsApartFromRoom(EndpointRecord endpoint, long nowMs) {
    return restrictions.permits(endpoint, nowMs)
        && peerRestrictions.permittedInMs(endpoint, nowMs) == 0
        && limits.permits(endpoint, nowMs)
        && cold.permits(endpoint, nowMs);
  }

  /**
   * Returns the time until this node may send to an endpoint if nothing else happens, or {@link
   * Long#MAX_VALUE} if it can't be foreseen. The room of brittle endpoints counts as there.
   */
  public long permittedInMs(EndpointRecord endpoint, long nowMs) {
    return Math.max(
        Math.max(
            restrictions.permittedInMs(endpoint, nowMs),
            peerRestrictions.permittedInMs(endpoint, nowMs)),
        Math.max(limits.permittedInMs(endpoint, nowMs), cold.permittedInMs(endpoint, nowMs)));
  }

  /**
   * Returns how many requests this node may start at an endpoint that it may send to.
   *
   * @param freeSlots free slots by what the endpoint reported and this node has sent since
   */
  public int room(EndpointRecord endpoint, int freeSlots, long nowMs) {
    int room =
        brittle.isBrittle(endpoint.getService()) ? loans.free(endpoint.getId(), nowMs) : freeSlots;
    return cold.isCold(endpoint, nowMs) ? Math.min(room, 1) : room;
  }

  /** Returns whether some nodes must leave the endpoint to others. */
  public boolean isLeftToFew(EndpointRecord endpoint, long nowMs) {
    return limits.isLeftToFew(endpoint) || cold.isLeftToFew(endpoint, nowMs);
  }

  /** Returns endpoints of a service that this node has a part of, unlike most other nodes. */
  public List<String> parts(String service, long nowMs) {
    return brittle.isBrittle(service)
        ? loans.endpointsWithSlots()
        : cold.parts(service, endpointsById.values(), nowMs);
  }

  /** Counts a request that is sent to the endpoint; returns whether it uses a lent slot. */
  public boolean onSent(EndpointRecord endpoint, long nowMs) {
    limits.onSent(endpoint, nowMs);
    cold.onSent(endpoint, nowMs);
    return brittle.isBrittle(endpoint.getService()) && loans.onSent(endpoint.getId());
  }

  /** Counts a request that the endpoint refused for lack of room. */
  public void onDeclined(EndpointRecord endpoint) {
    if (brittle.isBrittle(endpoint.getService())) {
      loans.onDeclined(endpoint.getId());
    }
  }

  /** Counts the end of a request that used a lent slot. */
  public void onSlotFree(EndpointRecord endpoint, long nowMs) {
    loans.onEnded(endpoint.getId(), endpoint.getService(), nowMs);
  }

  /** Records how many requests wait inside an endpoint. */
  public void onLoad(EndpointRecord endpoint, int waiting) {
    if (brittle.isBrittle(endpoint.getService())) {
      loans.onLoad(endpoint.getId(), waiting);
    }
  }

  /** Applies what an endpoint said of itself in the response to a request sent at a time. */
  public EndpointNotice.Effect onNotice(
      EndpointRecord endpoint, EndpointNotice notice, long sentMs, long nowMs) {
    EndpointNotice.Effect effect = restrictions.add(endpoint, notice, nowMs);
    EndpointNotice.Effect limited = limits.add(endpoint, notice.limit(), sentMs, nowMs);
    EndpointNotice.Effect ofBrittle = brittle.add(endpoint.getService(), notice, sentMs, nowMs);
    if (ofBrittle == EndpointNotice.Effect.UNREADABLE && unreadable.add(endpoint.getService())) {
      log.accept(
          LogEvent.ALLOWANCE_VALUE_REFUSED,
          "endpoint=%s field=brittle value=%s".formatted(endpoint.getId(), notice.brittlePerS()));
    } else if (ofBrittle == EndpointNotice.Effect.RESTRICTED
        || ofBrittle == EndpointNotice.Effect.RELAXED) {
      unreadable.remove(endpoint.getService());
      logBrittle(endpoint.getService(), "response");
    }
    if (effect == EndpointNotice.Effect.NONE) {
      effect = limited;
    }
    return effect == EndpointNotice.Effect.NONE ? ofBrittle : effect;
  }

  private void logBrittle(String service, String source) {
    log.accept(
        LogEvent.SERVICE_BRITTLE,
        "service=%s brittle=%s source=%s".formatted(service, brittle.isBrittle(service), source));
  }

  /** Returns the named rates that other nodes must learn of, if there are any. */
  public Optional<EndpointLimits> limitReport(long nowMs) {
    return limits.report(nowMs);
  }

  /** Applies named rates that another node has learned of. */
  public void onLimitReport(EndpointLimits report, long nowMs) {
    limits.onReport(report, nowMs);
  }

  /** Applies what another node says of brittle services and of slots. */
  public void onReport(String node, AllowanceReport report, long nowMs) {
    for (BrittleService said : report.getBrittleList()) {
      if (brittle.onReport(said, nowMs)) {
        logBrittle(said.getService(), node);
      }
    }
    loans.onReport(node, report, nowMs);
  }

  /** Applies what another node says of endpoints that leave or want no requests. */
  public void onRestrictions(String node, RestrictionReport report, long nowMs) {
    peerRestrictions.onReport(node, report, nowMs);
  }

  /** Reports restrictions to peers, except those that a peer has reported already. */
  private void reportRestrictions(long nowMs) {
    if (nowMs < nextRestrictionReportMs) {
      return;
    }
    nextRestrictionReportMs = nowMs + RESTRICTION_REPORT_INTERVAL_MS;
    peerRestrictions.removeLapsed(nowMs);
    List<EndpointRestriction> news =
        restrictions.takeNew(nowMs).stream()
            .filter(r -> r.getLeaving() || r.getWaitMs() >= MIN_TOLD_WAIT_MS)
            .filter(r -> !peerRestrictions.covers(r, nowMs))
            .toList();
    if (!news.isEmpty()) {
      links.sendToOthers(RestrictionReport.newBuilder().addAllRestriction(news).build());
    }
  }

  /** Updates the places, and lends and asks for slots of brittle endpoints. */
  public void tick(long nowMs) {
    places.tick();
    reportRestrictions(nowMs);
    List<BrittleService> news = brittle.report(nowMs);
    if (!news.isEmpty()) {
      links.sendToOthers(AllowanceReport.newBuilder().addAllBrittle(news).build());
    }
    Set<String> offered = new HashSet<>();
    for (String service : brittle.all()) {
      Collection<String> ids = usableIds(service, nowMs);
      offered.addAll(ids);
      loans.setDemand(service, ids, nowMs);
    }
    loans.releaseAllBut(offered, nowMs);
    loans.tick(nowMs);
  }

  private Collection<String> usableIds(String service, long nowMs) {
    List<String> ids = new ArrayList<>();
    for (EndpointRecord endpoint : endpointsById.values()) {
      if (endpoint.getService().equals(service)
          && !endpoint.getLeaving()
          && permitsApartFromRoom(endpoint, nowMs)) {
        ids.add(endpoint.getId());
      }
    }
    return ids;
  }

  /** Returns the number of cold endpoints, of slots lent, and of slots held by this node. */
  public AllowanceCounts counts(long nowMs) {
    return new AllowanceCounts(
        cold.count(nowMs), brittle.all().size(), loans.lentCount(), loans.heldCount());
  }
}
