package org.currantslip.core.membership;

import com.google.common.base.Preconditions;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.ConfigAnnounce;
import org.currantslip.schema.Heartbeat;
import org.currantslip.schema.MirrorRevision;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;
import org.currantslip.schema.NodeView;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.ServiceHeard;

/**
 * Membership based on join records in the object store, heartbeats to a bounded number of nodes,
 * and membership changes gossiped on those heartbeats.
 *
 * <p>A node counts as live until a node that monitors it suspects it and no later sign of life is
 * reported. Silence alone never marks a node as gone: that requires a newer incarnation or a join
 * record stored with state GONE.
 */
public final class HeartbeatMembership implements Membership {
  private static final int LIST_PAGE_SIZE = 500;
  private static final long NO_PEERS_REFRESH_MS = 1_000;

  /**
   * Time within which the first list of join records waits for this node's own record. Nodes that
   * start together then find each other with one list.
   */
  private static final long MAX_FIRST_REFRESH_DELAY_MS = 500;

  private static final int RETRANSMIT_FACTOR = 4;
  private static final int HEARTBEATS_PER_PROBE = 4;

  /** Shortest time between two rounds of heartbeats that pass on urgent news. */
  private static final long URGENT_INTERVAL_MS = 150;

  /** Time left to a suspected node to show a sign of life to a node that learns of it late. */
  private static final long MIN_SUSPICION_MS = 500;

  private static final int GONE_CHECKS_PER_PERIOD = 3;

  private final ObjectStore store;
  private final PeerNetwork peers;
  private final Clock clock;
  private final MembershipOptions options;
  private final JoinRecord joinRecord;
  private final GoneMarker goneMarker;
  private final ReachExchange reach = ReachExchange.create();
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final HeartbeatWriter writer;
  private BiConsumer<String, List<MirrorRevision>> peerRevisionListener = (node, revisions) -> {};
  private NodeRecord self;
  private NodeLists cachedLists = NodeLists.STALE;
  private boolean listsChanged;
  private long startedMs;
  private long lastTickMs;
  private long nextHeartbeatMs;
  private long lastHeartbeatMs;
  private long nextRefreshMs;
  private long nextGoneCheckMs;
  private long heartbeatRounds;
  private String lastProbed = "";
  private boolean recordsRead;

  private HeartbeatMembership(
      NodeRecord self,
      ObjectStore store,
      PeerNetwork peers,
      Clock clock,
      MembershipOptions options) {
    this.self = self;
    this.store = store;
    this.peers = peers;
    this.clock = clock;
    this.options = options;
    joinRecord = JoinRecord.create(self, store, clock);
    goneMarker = GoneMarker.create(store, clock, options.goneAfterMs(), this::mergeRecord);
    writer = HeartbeatWriter.create(clock, members, reach, options.maxGossip());
    startedMs = clock.nowMs();
    lastTickMs = startedMs;
  }

  /** Returns the membership of a node that is about to join. */
  public static HeartbeatMembership create(
      NodeRecord self,
      ObjectStore store,
      PeerNetwork peers,
      Clock clock,
      MembershipOptions options) {
    Preconditions.checkArgument(!self.getId().getName().isEmpty(), "node name must not be empty");
    return new HeartbeatMembership(self, store, peers, clock, options);
  }

  /**
   * Sets the source of the mirror revisions sent in heartbeats, and the listener for those of
   * peers.
   */
  public void setMirrorRevisions(
      Supplier<List<MirrorRevision>> own, BiConsumer<String, List<MirrorRevision>> peers) {
    writer.setMirrorRevisions(own);
    peerRevisionListener = peers;
  }

  /**
   * Sets the source of this node's report on its path to endpoints, and the listener for peers'.
   */
  public void setReachReports(
      Supplier<List<ServiceHeard>> own, Consumer<List<ServiceHeard>> peerListener) {
    reach.connect(own, peerListener);
  }

  /** Tells peers whether this node reaches no endpoint; to be repeated while it does not. */
  public void setEndpointsUnreachable(boolean unreachable) {
    if (reach.setUnreachable(unreachable)) {
      nextHeartbeatMs = 0;
    }
    onMemberChanged(self.getId().getName());
  }

  @Override
  public List<NodeRecord> servingNodes() {
    return nodeLists().serving();
  }

  /**
   * Returns the serving nodes other than this one that have not said that they reach no endpoint.
   */
  public List<NodeRecord> reachingPeers() {
    return nodeLists().reaching().stream().filter(n -> !n.getId().equals(self.getId())).toList();
  }

  /** Exchanges heartbeats with these nodes now, whoever monitors them. */
  public void exchangeWith(Collection<String> names) {
    names.forEach(this::sendHeartbeat);
  }

  /** Sets the source of the configuration status sent in heartbeats. */
  public void setConfigStatus(Supplier<ConfigAnnounce> status) {
    writer.setConfigStatus(status);
  }

  /** Sets the source of what this node reports of itself in heartbeats. */
  public void setReport(Supplier<NodeReport> report) {
    writer.setReport(report);
  }

  /** Returns what a node reports of itself; reports that are older than this age say nothing. */
  public NodeReport report(String name, long maxAgeMs) {
    if (name.equals(self.getId().getName())) {
      return new NodeReport(writer.report().capacity(), reach.isUnreachable());
    }
    long nowMs = clock.nowMs();
    return Optional.ofNullable(members.get(name))
        .filter(m -> nowMs - m.reportMs() <= maxAgeMs)
        .map(m -> new NodeReport(m.report().capacity(), m.isUnreachable(nowMs)))
        .orElseGet(NodeReport::none);
  }

  @Override
  public NodeRecord self() {
    return self;
  }

  @Override
  public List<NodeRecord> live() {
    return nodeLists().live();
  }

  @Override
  public List<NodeRecord> entryNodes() {
    return nodeLists().entries();
  }

  @Override
  public List<NodeRecord> known() {
    return nodeLists().known();
  }

  @Override
  public boolean isFleetKnown() {
    return recordsRead && isJoined();
  }

  /** Returns the node lists, rebuilt only after a node changed or a suspicion expired. */
  private NodeLists nodeLists() {
    long nowMs = clock.nowMs();
    if (!listsChanged && cachedLists.isValid(nowMs)) {
      return cachedLists;
    }
    listsChanged = false;
    cachedLists = NodeLists.of(self, reach.isUnreachable(), members, nowMs, options, cachedLists);
    return cachedLists;
  }

  private void onMemberChanged(String name) {
    listsChanged = true;
    boolean departure = isDeparture(name);
    writer.gossip().add(name, transmissionCount(), departure);
    if (departure) {
      advanceUrgently();
    }
  }

  /** Sends heartbeats soon: callers are still directed to a node that left, or no more to one. */
  private void advanceUrgently() {
    nextHeartbeatMs = Math.min(nextHeartbeatMs, lastHeartbeatMs + URGENT_INTERVAL_MS);
  }

  private boolean isDeparture(String name) {
    Member member = members.get(name);
    return member == null
        ? self.getState().getNumber() >= NodeState.LEAVING_VALUE
        : member.isSuspected() || member.nodeRecord().getStateValue() >= NodeState.LEAVING_VALUE;
  }

  @Override
  public Optional<NodeRecord> find(String name) {
    if (name.equals(self.getId().getName())) {
      return Optional.of(self);
    }
    return Optional.ofNullable(members.get(name))
        .filter(m -> m.isLive(clock.nowMs(), options.suspicionMs()))
        .map(Member::nodeRecord);
  }

  @Override
  public boolean isGone(NodeId id) {
    NodeId ownId = self.getId();
    if (id.getName().equals(ownId.getName())) {
      return id.getIncarnation() < ownId.getIncarnation();
    }
    Member member = members.get(id.getName());
    if (member == null) {
      return false;
    }
    long knownIncarnation = member.nodeRecord().getId().getIncarnation();
    return knownIncarnation > id.getIncarnation()
        || (knownIncarnation == id.getIncarnation() && member.isGone());
  }

  /** Returns the last known record of a node, whether it is live or not. */
  public Optional<NodeRecord> lastKnown(String name) {
    return Optional.ofNullable(members.get(name)).map(Member::nodeRecord);
  }

  /** Returns this node's view of every other node. */
  public List<NodeView> nodeViews() {
    return members.values().stream().map(writer::view).toList();
  }

  /** Returns whether this node's join record is known to be stored. */
  public boolean isJoined() {
    return joinRecord.isJoined();
  }

  /** Lets this node create its join record without reading it first, since the store has none. */
  public void assumeNoJoinRecord() {
    joinRecord.assumeAbsent();
  }

  /** Returns whether this node has read the join records of its peers from the store. */
  public boolean isPeersListed() {
    return recordsRead;
  }

  /** Returns the record that supersedes this node, if any; the process must then stop. */
  public Optional<NodeRecord> supersededBy() {
    return joinRecord.supersededBy();
  }

  /** Starts serving: the node appears in entry answers. */
  public void serve() {
    changeState(NodeState.SERVING);
  }

  /** Starts a planned stop: the node is removed from the entry answers of all nodes. */
  public void startLeaving() {
    changeState(NodeState.LEAVING);
  }

  /** Ends a planned stop; the future completes once state GONE is stored. */
  public CompletableFuture<Void> markGone() {
    return joinRecord.setDesiredState(NodeState.GONE).thenRun(() -> updateState(NodeState.GONE));
  }

  private void changeState(NodeState state) {
    updateState(state);
    joinRecord.setDesiredState(state);
  }

  private void updateState(NodeState state) {
    self = self.toBuilder().setState(state).build();
    onMemberChanged(self.getId().getName());
    nextHeartbeatMs = 0;
  }

  /** Writes this node's join record again if the store, back from an older copy, has lost it. */
  public void onStoreRestored() {
    joinRecord.recheck();
    goneMarker.onStoreRestored();
  }

  /** Returns the names of the nodes that receive this node's heartbeats. */
  public Set<String> heartbeatTargets() {
    return nodeLists().targets();
  }

  /** Sends the next heartbeats with the next tick, to pass on a change at once. */
  public void advanceHeartbeat() {
    nextHeartbeatMs = 0;
  }

  /** Handles the record that a peer presented when its link opened. */
  public void onRecord(NodeRecord nodeRecord) {
    mergeRecord(nodeRecord).ifPresent(m -> markHeard(m, clock.nowMs()));
  }

  /** Handles a heartbeat and returns the heartbeat to reply with. */
  public Heartbeat onHeartbeat(Heartbeat heartbeat) {
    handleHeartbeat(heartbeat);
    return writer.write(self);
  }

  /** Sends due heartbeats, checks for silent nodes and keeps the join record up to date. */
  public void tick() {
    joinRecord.tick();
    long nowMs = clock.nowMs();
    if (nowMs - lastTickMs >= options.silentMs() / 2) {
      // This node stood still and heard nobody; the silence of others counts from now.
      startedMs = nowMs;
    }
    lastTickMs = nowMs;
    boolean mayRefresh = joinRecord.isJoined() || nowMs - startedMs >= MAX_FIRST_REFRESH_DELAY_MS;
    if (mayRefresh && nowMs >= nextRefreshMs) {
      refresh(nowMs);
    }
    if (nowMs >= nextHeartbeatMs) {
      nextHeartbeatMs = nowMs + options.heartbeatMs();
      sendHeartbeats(nowMs);
    }
  }

  private void sendHeartbeats(long nowMs) {
    heartbeatRounds++;
    lastHeartbeatMs = nowMs;
    Set<String> targets = nodeLists().targets();
    targets.forEach(this::sendHeartbeat);
    if (heartbeatRounds % HEARTBEATS_PER_PROBE == 0) {
      nextProbeTarget(nowMs).ifPresent(this::sendHeartbeat);
    }
    targets.stream()
        .flatMap(name -> Optional.ofNullable(members.get(name)).stream())
        .filter(m -> nowMs - Math.max(m.silentSinceMs(), startedMs) >= options.silentMs())
        .forEach(m -> suspect(m, nowMs));
    if (nowMs >= nextGoneCheckMs && members.values().stream().anyMatch(this::isSuspectedNotGone)) {
      nextGoneCheckMs = nowMs + options.goneAfterMs() / GONE_CHECKS_PER_PERIOD;
      joinRecord.touch();
      members.values().stream()
          .filter(m -> isSuspectedNotGone(m) && !m.isLive(nowMs, options.suspicionMs()))
          .filter(m -> isResponsibleForMarking(m.nodeRecord()))
          .forEach(m -> goneMarker.mark(m.nodeRecord()));
    }
  }

  private boolean isSuspectedNotGone(Member member) {
    return !member.isGone() && member.isSuspected();
  }

  /** Returns whether this node is responsible for marking a dead node as gone in the store. */
  private boolean isResponsibleForMarking(NodeRecord dead) {
    List<NodeRecord> ring = new ArrayList<>(live());
    ring.add(dead);
    return HeartbeatRing.targets(dead, ring, options).stream()
        .findFirst()
        .filter(self.getId().getName()::equals)
        .isPresent();
  }

  /** Returns the next suspected node to probe, in name order after the last one probed. */
  private Optional<String> nextProbeTarget(long nowMs) {
    Collection<Member> following = members.tailMap(lastProbed, false).values();
    Optional<String> next =
        Stream.concat(following.stream(), members.values().stream())
            .filter(m -> !m.isGone() && m.isSuspected())
            .map(m -> m.nodeRecord().getId().getName())
            .findFirst();
    next.ifPresent(name -> lastProbed = name);
    return next;
  }

  private void sendHeartbeat(String name) {
    PeerFrame frame = PeerFrame.newBuilder().setHeartbeat(writer.write(self)).build();
    peers
        .request(name, frame, options.silentMs())
        .thenAccept(reply -> handleHeartbeat(reply.getHeartbeat()))
        .exceptionally(failure -> null);
  }

  private void handleHeartbeat(Heartbeat heartbeat) {
    long nowMs = clock.nowMs();
    Member sender = members.get(heartbeat.getNode().getName());
    if (sender != null && sender.nodeRecord().getId().equals(heartbeat.getNode())) {
      mergeRecord(sender.nodeRecord().toBuilder().setState(heartbeat.getState()).build());
      sender.setConfigVersion(heartbeat.getConfigVersion());
      sender.setReport(
          new NodeReport(heartbeat.getCapacity(), heartbeat.getEndpointsUnreachable()), nowMs);
      markHeard(sender, nowMs);
      if (reach.onHeartbeat(sender, heartbeat, nowMs)) {
        onMemberChanged(heartbeat.getNode().getName());
      }
      peerRevisionListener.accept(sender.nodeRecord().getId().getName(), heartbeat.getMirrorList());
    }
    heartbeat.getViewList().forEach(v -> handleView(v, nowMs));
  }

  private void handleView(NodeView view, long nowMs) {
    NodeId id = view.getNode().getId();
    if (id.getName().equals(self.getId().getName())) {
      handleOwnView(view);
      return;
    }
    Member member = mergeRecord(view.getNode()).orElse(null);
    if (member == null) {
      return;
    }
    member.setConfigVersion(view.getConfigVersion());
    long heardMs = nowMs - view.getHeardMsAgo();
    member.setReport(new NodeReport(view.getCapacity(), view.getEndpointsUnreachable()), heardMs);
    if (!view.getSuspected()) {
      if (nowMs - heardMs < options.silentMs() && member.markHeardByOther(heardMs)) {
        onSuspicionCleared(member);
      }
      if (reach.onView(member, view, nowMs)) {
        onMemberChanged(id.getName());
      }
      return;
    }
    member.noteHeardByOther(heardMs);
    if (nowMs - member.lastHeardMs() < options.silentMs()) {
      writer.gossip().add(id.getName(), transmissionCount(), true);
    } else {
      suspect(member, nowMs);
    }
  }

  private void handleOwnView(NodeView view) {
    NodeId id = view.getNode().getId();
    boolean sameIncarnation = id.getIncarnation() == self.getId().getIncarnation();
    if (sameIncarnation && view.getSuspected()) {
      writer.gossip().add(id.getName(), transmissionCount(), true);
      advanceUrgently();
    }
    if (id.getIncarnation() > self.getId().getIncarnation()
        || (sameIncarnation && view.getNode().getState() == NodeState.GONE)) {
      joinRecord.recheck();
    }
  }

  /** Merges a record; returns empty if it has an older incarnation or is this node's own. */
  private Optional<Member> mergeRecord(NodeRecord nodeRecord) {
    String name = nodeRecord.getId().getName();
    if (name.isEmpty() || name.equals(self.getId().getName())) {
      return Optional.empty();
    }
    Member known = members.get(name);
    if (known == null) {
      known = Member.of(nodeRecord, clock.nowMs());
      members.put(name, known);
      onMemberChanged(name);
      return Optional.of(known);
    }
    if (nodeRecord.getId().getIncarnation() < known.nodeRecord().getId().getIncarnation()) {
      return Optional.empty();
    }
    if (known.merge(nodeRecord)) {
      onMemberChanged(name);
    }
    return Optional.of(known);
  }

  private void markHeard(Member member, long atMs) {
    if (member.markHeard(atMs)) {
      onSuspicionCleared(member);
    }
  }

  private void onSuspicionCleared(Member member) {
    listsChanged = true;
    goneMarker.onLive(member.nodeRecord().getId().getName());
    writer.gossip().add(member.nodeRecord().getId().getName(), transmissionCount(), true);
  }

  private void suspect(Member member, long nowMs) {
    // All nodes count from the last sign of life that is known, whenever they learn of the silence.
    long sinceMs =
        Math.max(
            member.lastHeardMs() + options.silentMs(),
            nowMs - Math.max(0, options.suspicionMs() - MIN_SUSPICION_MS));
    if (!member.isGone() && member.markSuspected(Math.min(nowMs, sinceMs))) {
      onMemberChanged(member.nodeRecord().getId().getName());
    }
  }

  private int transmissionCount() {
    return RETRANSMIT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size() + 1));
  }

  private void refresh(long nowMs) {
    nextRefreshMs =
        nowMs + (members.isEmpty() || !recordsRead ? NO_PEERS_REFRESH_MS : options.refreshMs());
    refreshFrom("");
  }

  private void refreshFrom(String startAfter) {
    store
        .list(JoinRecord.PREFIX, startAfter, LIST_PAGE_SIZE)
        .thenAccept(
            page -> {
              page.stream().flatMap(o -> JoinRecord.parse(o).stream()).forEach(this::mergeRecord);
              if (page.size() == LIST_PAGE_SIZE) {
                refreshFrom(page.get(page.size() - 1).name());
              } else {
                recordsRead = true;
              }
            })
        .exceptionally(failure -> null);
  }
}
