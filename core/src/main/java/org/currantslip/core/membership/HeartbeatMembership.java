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
 * Membership by join records in the store, heartbeats to a bounded number of nodes, and news of
 * changes that ride on the heartbeats.
 *
 * <p>A node counts as live until one of its watchers suspects it and nobody reports a later sign of
 * life. Silence alone never makes a node gone: that takes a newer incarnation or a stored mark.
 */
public final class HeartbeatMembership implements Membership {
  private static final int LIST_PAGE = 500;
  private static final long LONELY_REFRESH_MS = 1_000;
  private static final int NEWS_FACTOR = 4;
  private static final int PROBE_EVERY = 4;
  private static final int PROOFS = 3;

  private final ObjectStore store;
  private final PeerNetwork peers;
  private final Clock clock;
  private final MembershipOptions options;
  private final JoinRecord join;
  private final News news = News.create();
  private final RecordSilence silence;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private Supplier<ConfigAnnounce> configStatus = ConfigAnnounce::getDefaultInstance;
  private Supplier<List<MirrorRevision>> ownMirrors = List::of;
  private BiConsumer<String, List<MirrorRevision>> peerMirrors = (node, revisions) -> {};
  private NodeRecord self;
  private Lists lists = Lists.STALE;
  private long startedMs;
  private long nextBeatMs;
  private long nextRefreshMs;
  private long nextProofMs;
  private long beats;
  private String probed = "";

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
    join = JoinRecord.create(self, store, clock);
    silence = RecordSilence.of(options.goneAfterMs());
    startedMs = clock.nowMs();
  }

  /** Returns the membership of a node that is about to join. */
  public static HeartbeatMembership create(
      NodeRecord self,
      ObjectStore store,
      PeerNetwork peers,
      Clock clock,
      MembershipOptions options) {
    Preconditions.checkArgument(!self.getId().getName().isEmpty(), "a node needs a name");
    return new HeartbeatMembership(self, store, peers, clock, options);
  }

  /**
   * Sets what heartbeats tell of this node's copies of the store, and who learns of peers' copies.
   */
  public void setMirrors(
      Supplier<List<MirrorRevision>> own, BiConsumer<String, List<MirrorRevision>> peers) {
    ownMirrors = own;
    peerMirrors = peers;
  }

  /** Sets where the configuration version told in heartbeats comes from. */
  public void setConfigStatus(Supplier<ConfigAnnounce> status) {
    configStatus = status;
  }

  @Override
  public NodeRecord self() {
    return self;
  }

  @Override
  public List<NodeRecord> live() {
    return lists().live();
  }

  @Override
  public List<NodeRecord> entries() {
    return lists().entries();
  }

  /** Returns the lists of nodes, made anew only when a node changed or a suspicion ran out. */
  private Lists lists() {
    long nowMs = clock.nowMs();
    if (lists.isValid(nowMs)) {
      return lists;
    }
    List<NodeRecord> live =
        Stream.concat(
                Stream.of(self),
                members.values().stream()
                    .filter(m -> m.isLive(nowMs, options.suspicionMs()))
                    .map(Member::rec))
            .sorted(Comparator.comparing(n -> n.getId().getName()))
            .toList();
    long untilMs =
        members.values().stream()
            .filter(m -> m.isSuspected() && m.isLive(nowMs, options.suspicionMs()))
            .mapToLong(m -> nowMs - m.suspectedForMs(nowMs) + options.suspicionMs())
            .min()
            .orElse(Long.MAX_VALUE);
    lists =
        new Lists(
            live,
            live.stream().filter(n -> n.getState() == NodeState.SERVING).toList(),
            HeartbeatRing.targets(self, live, options),
            untilMs);
    return lists;
  }

  /**
   * Lists of nodes.
   *
   * @param untilMs time at which a suspicion runs out
   */
  private record Lists(
      List<NodeRecord> live, List<NodeRecord> entries, Set<String> targets, long untilMs) {
    static final Lists STALE = new Lists(List.of(), List.of(), Set.of(), Long.MIN_VALUE);

    boolean isValid(long nowMs) {
      return nowMs < untilMs;
    }
  }

  private void changed(String name) {
    lists = Lists.STALE;
    news.add(name, spreads());
  }

  @Override
  public Optional<NodeRecord> find(String name) {
    if (name.equals(self.getId().getName())) {
      return Optional.of(self);
    }
    return Optional.ofNullable(members.get(name))
        .filter(m -> m.isLive(clock.nowMs(), options.suspicionMs()))
        .map(Member::rec);
  }

  @Override
  public boolean isGone(NodeId id) {
    NodeId mine = self.getId();
    if (id.getName().equals(mine.getName())) {
      return id.getIncarnation() < mine.getIncarnation();
    }
    Member member = members.get(id.getName());
    if (member == null) {
      return false;
    }
    long known = member.rec().getId().getIncarnation();
    return known > id.getIncarnation() || (known == id.getIncarnation() && member.isGone());
  }

  /** Returns the last known record of a node, live or not. */
  public Optional<NodeRecord> lastKnown(String name) {
    return Optional.ofNullable(members.get(name)).map(Member::rec);
  }

  /** Returns what is known of every other node. */
  public List<NodeView> views() {
    return members.values().stream().map(this::view).toList();
  }

  /** Returns whether the store has this node's join record. */
  public boolean isJoined() {
    return join.isJoined();
  }

  /** Returns the record that took this node's place; the process has to stop then. */
  public Optional<NodeRecord> supersededBy() {
    return join.supersededBy();
  }

  /** Starts to serve: the node shows up in entry answers. */
  public void serve() {
    changeState(NodeState.SERVING);
  }

  /** Starts a planned stop: the node leaves the entry answers of all nodes. */
  public void leave() {
    changeState(NodeState.LEAVING);
  }

  /** Ends a planned stop; the future completes when the store has the mark. */
  public CompletableFuture<Void> complete() {
    return join.want(NodeState.GONE).thenRun(() -> tellState(NodeState.GONE));
  }

  private void changeState(NodeState state) {
    tellState(state);
    join.want(state);
  }

  private void tellState(NodeState state) {
    self = self.toBuilder().setState(state).build();
    changed(self.getId().getName());
    nextBeatMs = 0;
  }

  /** Takes the record that a peer showed when its link opened. */
  public void onRecord(NodeRecord rec) {
    learn(rec).ifPresent(m -> markHeard(m, clock.nowMs()));
  }

  /** Takes a heartbeat, and returns the one to reply with. */
  public Heartbeat onHeartbeat(Heartbeat beat) {
    take(beat);
    return heartbeat();
  }

  /** Sends due heartbeats, looks for silent nodes and keeps the join record up to date. */
  public void tick() {
    join.tick();
    long nowMs = clock.nowMs();
    if (nowMs >= nextRefreshMs) {
      refresh(nowMs);
    }
    if (nowMs >= nextBeatMs) {
      nextBeatMs = nowMs + options.heartbeatMs();
      beat(nowMs);
    }
  }

  private void beat(long nowMs) {
    beats++;
    Set<String> targets = lists().targets();
    targets.forEach(this::ping);
    if (beats % PROBE_EVERY == 0) {
      nextSilent(nowMs).ifPresent(this::ping);
    }
    targets.stream()
        .flatMap(name -> Optional.ofNullable(members.get(name)).stream())
        .filter(m -> nowMs - Math.max(m.heardMs(), startedMs) >= options.silentMs())
        .forEach(m -> suspect(m, nowMs));
    if (nowMs >= nextProofMs && members.values().stream().anyMatch(this::isMissing)) {
      nextProofMs = nowMs + options.goneAfterMs() / PROOFS;
      join.touch();
      members.values().stream()
          .filter(m -> isMissing(m) && !m.isLive(nowMs, options.suspicionMs()))
          .filter(m -> isMarker(m.rec()))
          .forEach(m -> markGone(m.rec()));
    }
  }

  private boolean isMissing(Member member) {
    return !member.isGone() && member.isSuspected();
  }

  /** Returns whether this node is the one that marks a dead node in the store. */
  private boolean isMarker(NodeRecord dead) {
    List<NodeRecord> ring = new ArrayList<>(live());
    ring.add(dead);
    return HeartbeatRing.targets(dead, ring, options).stream()
        .findFirst()
        .filter(self.getId().getName()::equals)
        .isPresent();
  }

  /** Returns the next node after the last probed one that is not live but may come back. */
  private Optional<String> nextSilent(long nowMs) {
    Collection<Member> after = members.tailMap(probed, false).values();
    Optional<String> next =
        Stream.concat(after.stream(), members.values().stream())
            .filter(m -> !m.isGone() && m.isSuspected())
            .map(m -> m.rec().getId().getName())
            .findFirst();
    next.ifPresent(name -> probed = name);
    return next;
  }

  private void ping(String name) {
    PeerFrame frame = PeerFrame.newBuilder().setHeartbeat(heartbeat()).build();
    peers
        .ask(name, frame, options.silentMs())
        .thenAccept(reply -> take(reply.getHeartbeat()))
        .exceptionally(failure -> null);
  }

  private Heartbeat heartbeat() {
    ConfigAnnounce config = configStatus.get();
    Heartbeat.Builder beat =
        Heartbeat.newBuilder()
            .setNode(self.getId())
            .setState(self.getState())
            .setConfigVersion(config.getVersion())
            .setConfigAgeMs(config.getAgeMs())
            .addAllMirror(ownMirrors.get());
    news.take(options.maxNews()).stream().flatMap(this::viewOf).forEach(beat::addView);
    return beat.build();
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
        .setNode(member.rec())
        .setHeardMsAgo(Math.max(0, clock.nowMs() - member.heardMs()))
        .setConfigVersion(member.configVersion())
        .setSuspected(member.isSuspected())
        .build();
  }

  private void take(Heartbeat beat) {
    long nowMs = clock.nowMs();
    Member from = members.get(beat.getNode().getName());
    if (from != null && from.rec().getId().equals(beat.getNode())) {
      learn(from.rec().toBuilder().setState(beat.getState()).build());
      from.setConfigVersion(beat.getConfigVersion());
      markHeard(from, nowMs);
      peerMirrors.accept(from.rec().getId().getName(), beat.getMirrorList());
    }
    beat.getViewList().forEach(v -> takeView(v, nowMs));
  }

  private void takeView(NodeView view, long nowMs) {
    NodeId id = view.getNode().getId();
    if (id.getName().equals(self.getId().getName())) {
      takeViewOfSelf(view);
      return;
    }
    Member member = learn(view.getNode()).orElse(null);
    if (member == null) {
      return;
    }
    member.setConfigVersion(view.getConfigVersion());
    long heardMs = nowMs - view.getHeardMsAgo();
    if (!view.getSuspected()) {
      if (nowMs - heardMs < options.silentMs()) {
        markHeard(member, heardMs);
      }
    } else if (nowMs - member.heardMs() < options.silentMs()) {
      news.add(id.getName(), spreads());
    } else {
      suspect(member, nowMs);
    }
  }

  private void takeViewOfSelf(NodeView view) {
    NodeId id = view.getNode().getId();
    boolean same = id.getIncarnation() == self.getId().getIncarnation();
    if (same && view.getSuspected()) {
      news.add(id.getName(), spreads());
    }
    if (id.getIncarnation() > self.getId().getIncarnation()
        || (same && view.getNode().getState() == NodeState.GONE)) {
      join.recheck();
    }
  }

  /** Merges a record; empty when it is older than what is known, or this node's own. */
  private Optional<Member> learn(NodeRecord rec) {
    String name = rec.getId().getName();
    if (name.isEmpty() || name.equals(self.getId().getName())) {
      return Optional.empty();
    }
    Member known = members.get(name);
    if (known == null) {
      known = Member.of(rec, clock.nowMs());
      members.put(name, known);
      changed(name);
      return Optional.of(known);
    }
    if (rec.getId().getIncarnation() < known.rec().getId().getIncarnation()) {
      return Optional.empty();
    }
    if (known.merge(rec)) {
      changed(name);
    }
    return Optional.of(known);
  }

  private void markHeard(Member member, long atMs) {
    if (member.heard(atMs)) {
      silence.forget(JoinRecord.nameOf(member.rec().getId().getName()));
      changed(member.rec().getId().getName());
    }
  }

  private void suspect(Member member, long nowMs) {
    if (!member.isGone() && member.suspect(nowMs)) {
      changed(member.rec().getId().getName());
    }
  }

  private int spreads() {
    return NEWS_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size() + 1));
  }

  private void refresh(long nowMs) {
    nextRefreshMs = nowMs + (members.isEmpty() ? LONELY_REFRESH_MS : options.refreshMs());
    refreshFrom("");
  }

  private void refreshFrom(String startAfter) {
    store
        .list(JoinRecord.PREFIX, startAfter, LIST_PAGE)
        .thenAccept(
            page -> {
              page.stream().flatMap(o -> JoinRecord.parse(o).stream()).forEach(this::learn);
              if (page.size() == LIST_PAGE) {
                refreshFrom(page.get(page.size() - 1).name());
              }
            })
        .exceptionally(failure -> null);
  }

  /** Marks a dead node, unless its record shows that it still reaches the store. */
  private void markGone(NodeRecord dead) {
    store
        .get(JoinRecord.nameOf(dead.getId().getName()))
        .thenCompose(found -> writeGone(found, dead))
        .exceptionally(failure -> null);
  }

  private CompletableFuture<Void> writeGone(Optional<StoredObject> found, NodeRecord dead) {
    NodeRecord now = found.flatMap(JoinRecord::parse).orElse(dead);
    if (found.isEmpty() || !now.getId().equals(dead.getId()) || now.getState() == NodeState.GONE) {
      learn(now);
      return CompletableFuture.completedFuture(null);
    }
    if (!silence.isProved(found.get(), clock.nowMs())) {
      return CompletableFuture.completedFuture(null);
    }
    NodeRecord gone = now.toBuilder().setState(NodeState.GONE).build();
    return store
        .update(found.get().name(), gone.toByteString(), found.get().version())
        .thenAccept(version -> learn(gone));
  }
}
