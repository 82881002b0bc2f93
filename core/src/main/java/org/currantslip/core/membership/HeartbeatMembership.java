package org.currantslip.core.membership;

import com.google.common.base.Preconditions;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.ConfigAnnounce;
import org.currantslip.schema.Heartbeat;
import org.currantslip.schema.MirrorRevision;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;
import org.currantslip.schema.NodeView;
import org.currantslip.schema.PeerFrame;

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
  private static final int RETRANSMIT_FACTOR = 4;
  private static final int HEARTBEATS_PER_PROBE = 4;
  private static final int GONE_CHECKS_PER_PERIOD = 3;

  private final ObjectStore store;
  private final PeerNetwork peers;
  private final Clock clock;
  private final MembershipOptions options;
  private final JoinRecord joinRecord;
  private final GossipQueue gossip = GossipQueue.create();
  private final UnchangedRecordTracker unchangedRecords;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private Supplier<ConfigAnnounce> configStatus = ConfigAnnounce::getDefaultInstance;
  private Supplier<List<MirrorRevision>> ownMirrorRevisions = List::of;
  private BiConsumer<String, List<MirrorRevision>> peerRevisionListener = (node, revisions) -> {};
  private NodeRecord self;
  private NodeLists cachedLists = NodeLists.STALE;
  private long startedMs;
  private long nextHeartbeatMs;
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
    unchangedRecords = UnchangedRecordTracker.of(options.goneAfterMs());
    startedMs = clock.nowMs();
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
    ownMirrorRevisions = own;
    peerRevisionListener = peers;
  }

  /** Sets the source of the configuration status sent in heartbeats. */
  public void setConfigStatus(Supplier<ConfigAnnounce> status) {
    configStatus = status;
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
    if (cachedLists.isValid(nowMs)) {
      return cachedLists;
    }
    List<NodeRecord> live =
        Stream.concat(
                Stream.of(self),
                members.values().stream()
                    .filter(m -> m.isLive(nowMs, options.suspicionMs()))
                    .map(Member::nodeRecord))
            .sorted(Comparator.comparing(n -> n.getId().getName()))
            .toList();
    long untilMs =
        members.values().stream()
            .filter(m -> m.isSuspected() && m.isLive(nowMs, options.suspicionMs()))
            .mapToLong(m -> nowMs - m.suspectedForMs(nowMs) + options.suspicionMs())
            .min()
            .orElse(Long.MAX_VALUE);
    List<NodeRecord> known =
        Stream.concat(
                Stream.of(self),
                members.values().stream().filter(m -> !m.isGone()).map(Member::nodeRecord))
            .toList();
    cachedLists =
        new NodeLists(
            known.equals(cachedLists.known()) ? cachedLists.known() : known,
            live,
            live.stream().filter(n -> n.getState() == NodeState.SERVING).toList(),
            HeartbeatRing.targets(self, live, options),
            untilMs);
    return cachedLists;
  }

  /**
   * Node lists derived from the known members.
   *
   * @param untilMs time at which the next suspicion expires and the lists become invalid
   */
  private record NodeLists(
      List<NodeRecord> known,
      List<NodeRecord> live,
      List<NodeRecord> entries,
      Set<String> targets,
      long untilMs) {
    static final NodeLists STALE =
        new NodeLists(List.of(), List.of(), List.of(), Set.of(), Long.MIN_VALUE);

    boolean isValid(long nowMs) {
      return nowMs < untilMs;
    }
  }

  private void onMemberChanged(String name) {
    cachedLists = NodeLists.STALE;
    gossip.add(name, transmissionCount());
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
    return members.values().stream().map(this::view).toList();
  }

  /** Returns whether this node's join record is known to be stored. */
  public boolean isJoined() {
    return joinRecord.isJoined();
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
    unchangedRecords.clear();
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
    return buildHeartbeat();
  }

  /** Sends due heartbeats, checks for silent nodes and keeps the join record up to date. */
  public void tick() {
    joinRecord.tick();
    long nowMs = clock.nowMs();
    if (nowMs >= nextRefreshMs) {
      refresh(nowMs);
    }
    if (nowMs >= nextHeartbeatMs) {
      nextHeartbeatMs = nowMs + options.heartbeatMs();
      sendHeartbeats(nowMs);
    }
  }

  private void sendHeartbeats(long nowMs) {
    heartbeatRounds++;
    Set<String> targets = nodeLists().targets();
    targets.forEach(this::sendHeartbeat);
    if (heartbeatRounds % HEARTBEATS_PER_PROBE == 0) {
      nextProbeTarget(nowMs).ifPresent(this::sendHeartbeat);
    }
    targets.stream()
        .flatMap(name -> Optional.ofNullable(members.get(name)).stream())
        .filter(m -> nowMs - Math.max(m.lastHeardMs(), startedMs) >= options.silentMs())
        .forEach(m -> suspect(m, nowMs));
    if (nowMs >= nextGoneCheckMs && members.values().stream().anyMatch(this::isSuspectedNotGone)) {
      nextGoneCheckMs = nowMs + options.goneAfterMs() / GONE_CHECKS_PER_PERIOD;
      joinRecord.touch();
      members.values().stream()
          .filter(m -> isSuspectedNotGone(m) && !m.isLive(nowMs, options.suspicionMs()))
          .filter(m -> isResponsibleForMarking(m.nodeRecord()))
          .forEach(m -> markNodeGone(m.nodeRecord()));
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
    PeerFrame frame = PeerFrame.newBuilder().setHeartbeat(buildHeartbeat()).build();
    peers
        .request(name, frame, options.silentMs())
        .thenAccept(reply -> handleHeartbeat(reply.getHeartbeat()))
        .exceptionally(failure -> null);
  }

  private Heartbeat buildHeartbeat() {
    ConfigAnnounce config = configStatus.get();
    Heartbeat.Builder builder =
        Heartbeat.newBuilder()
            .setNode(self.getId())
            .setState(self.getState())
            .setConfigVersion(config.getVersion())
            .setConfigAgeMs(config.getAgeMs())
            .addAllMirror(ownMirrorRevisions.get());
    gossip.take(options.maxGossip()).stream().flatMap(this::viewOf).forEach(builder::addView);
    return builder.build();
  }

  private Stream<NodeView> viewOf(String name) {
    if (name.equals(self.getId().getName())) {
      return Stream.of(
          NodeView.newBuilder()
              .setNode(self)
              .setConfigVersion(configStatus.get().getVersion())
              .build());
    }
    return Optional.ofNullable(members.get(name)).map(this::view).stream();
  }

  private NodeView view(Member member) {
    return NodeView.newBuilder()
        .setNode(member.nodeRecord())
        .setHeardMsAgo(Math.max(0, clock.nowMs() - member.lastHeardMs()))
        .setConfigVersion(member.configVersion())
        .setSuspected(member.isSuspected())
        .build();
  }

  private void handleHeartbeat(Heartbeat heartbeat) {
    long nowMs = clock.nowMs();
    Member sender = members.get(heartbeat.getNode().getName());
    if (sender != null && sender.nodeRecord().getId().equals(heartbeat.getNode())) {
      mergeRecord(sender.nodeRecord().toBuilder().setState(heartbeat.getState()).build());
      sender.setConfigVersion(heartbeat.getConfigVersion());
      markHeard(sender, nowMs);
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
    if (!view.getSuspected()) {
      if (nowMs - heardMs < options.silentMs()) {
        markHeard(member, heardMs);
      }
    } else if (nowMs - member.lastHeardMs() < options.silentMs()) {
      gossip.add(id.getName(), transmissionCount());
    } else {
      suspect(member, nowMs);
    }
  }

  private void handleOwnView(NodeView view) {
    NodeId id = view.getNode().getId();
    boolean sameIncarnation = id.getIncarnation() == self.getId().getIncarnation();
    if (sameIncarnation && view.getSuspected()) {
      gossip.add(id.getName(), transmissionCount());
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
      unchangedRecords.remove(JoinRecord.objectName(member.nodeRecord().getId().getName()));
      onMemberChanged(member.nodeRecord().getId().getName());
    }
  }

  private void suspect(Member member, long nowMs) {
    if (!member.isGone() && member.markSuspected(nowMs)) {
      onMemberChanged(member.nodeRecord().getId().getName());
    }
  }

  private int transmissionCount() {
    return RETRANSMIT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size() + 1));
  }

  private void refresh(long nowMs) {
    nextRefreshMs = nowMs + (members.isEmpty() ? NO_PEERS_REFRESH_MS : options.refreshMs());
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

  /** Marks a dead node as gone unless its record shows that it still reaches the store. */
  private void markNodeGone(NodeRecord dead) {
    store
        .get(JoinRecord.objectName(dead.getId().getName()))
        .thenCompose(existing -> writeGone(existing, dead))
        .exceptionally(failure -> null);
  }

  private CompletableFuture<Void> writeGone(Optional<StoredObject> existing, NodeRecord dead) {
    NodeRecord current = existing.flatMap(JoinRecord::parse).orElse(dead);
    if (existing.isEmpty()
        || !current.getId().equals(dead.getId())
        || current.getState() == NodeState.GONE) {
      mergeRecord(current);
      return CompletableFuture.completedFuture(null);
    }
    if (!unchangedRecords.observe(existing.get(), clock.nowMs())) {
      return CompletableFuture.completedFuture(null);
    }
    NodeRecord gone = current.toBuilder().setState(NodeState.GONE).build();
    return store
        .update(existing.get().name(), gone.toByteString(), existing.get().version())
        .thenAccept(version -> mergeRecord(gone));
  }
}
