package org.currantslip.node.edge;

import java.util.Optional;
import java.util.function.Consumer;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.mirror.KindMirror;
import org.currantslip.core.mirror.MirrorCopies;
import org.currantslip.core.mirror.MirrorGossip;
import org.currantslip.core.mirror.MirrorRelay;
import org.currantslip.core.mirror.RelayedFeed;
import org.currantslip.core.mirror.StoreProbe;
import org.currantslip.core.mirror.StoreWatchers;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.node.duty.TickStep;
import org.currantslip.node.log.EventLog;
import org.currantslip.schema.EdgeSettings;
import org.currantslip.schema.PeerFrame;

/** This node's copies of the store and the exchange that keeps those of the fleet current. */
final class FleetMirrors {
  /** Time that a starting node waits for the list of its peers before it reads the store itself. */
  private static final long MAX_DISCOVERY_MS = 1_000;

  private final Clock clock;
  private final HeartbeatMembership membership;
  private final StoreWatchers watchers;
  private final MirrorCopies copies;
  private final RelayedFeed feed;
  private final StoreMirrors mirrors;
  private final MirrorRelay relay;
  private final StoreProbe probe;
  private final MirrorGossip gossip;
  private final long startMs;

  private FleetMirrors(
      EdgeSettings settings,
      KindStore store,
      PeerNetwork peers,
      HeartbeatMembership membership,
      Clock clock,
      long seed) {
    this.clock = clock;
    this.membership = membership;
    startMs = clock.nowMs() + MAX_DISCOVERY_MS;
    watchers = StoreWatchers.create(membership, clock);
    copies = MirrorCopies.create(peers, clock);
    feed = RelayedFeed.create(store, peers, copies, watchers, clock);
    mirrors =
        StoreMirrors.create(
            feed,
            clock,
            seed,
            EdgeOptions.regions(settings),
            EdgeOptions.evacuatesOnOrder(settings));
    relay = MirrorRelay.create(mirrors.all(), watchers::isWatcher, copies, clock);
    probe = StoreProbe.create(store, relay::hasFollowers, clock, this::onStoreSilent);
    gossip =
        MirrorGossip.create(
            mirrors.all(),
            peers,
            copies,
            clock,
            (node, failure) ->
                EventLog.write(LogEvent.COPY_MISSED, "node=%s reason=%s".formatted(node, failure)));
    membership.setMirrorRevisions(gossip::revisions, gossip::onRevisions);
    gossip.setCopyListener(membership::advanceHeartbeat);
    watchers.setAvoidListener(
        (watcher, reason) ->
            EventLog.write(
                LogEvent.WATCHER_AVOIDED, "watcher=%s reason=%s".formatted(watcher, reason)));
    mirrors.setConfigBehind(() -> gossip.behindMs(mirrors.config()));
    mirrors.onNewConfig(membership::advanceHeartbeat);
    mirrors.onStoreRestored(membership::onStoreRestored);
  }

  /** Creates empty copies whose revisions are announced in the heartbeats of this membership. */
  static FleetMirrors create(
      EdgeSettings settings,
      KindStore store,
      PeerNetwork peers,
      HeartbeatMembership membership,
      Clock clock,
      long seed) {
    return new FleetMirrors(settings, store, peers, membership, clock, seed);
  }

  /** Returns the copies, decoded for this node. */
  StoreMirrors mirrors() {
    return mirrors;
  }

  void tick() {
    TickStep.run("watchers", () -> watchers.pollWatcherChange().ifPresent(this::onWatcherChange));
    TickStep.run("feed", feed::tick);
    TickStep.run("mirrors", this::tickMirrors);
    TickStep.run("relay", relay::tick);
    TickStep.run("probe", probe::tick);
    TickStep.run("gossip", gossip::tick);
    TickStep.run("copies", copies::tick);
  }

  /** Lets the mirrors wait for the first list of peers, one of which may have the copies. */
  private void tickMirrors() {
    if (membership.isPeersListed() || clock.nowMs() >= startMs) {
      mirrors.tick();
    }
  }

  /** Handles a frame of a peer that concerns the copies. */
  void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply) {
    PeerFrame.Builder replyFrame = PeerFrame.newBuilder();
    switch (frame.getBodyCase()) {
      case MIRROR_REQUEST ->
          gossip
              .answer(frame.getMirrorRequest())
              .ifPresent(s -> reply.accept(replyFrame.setMirrorSnapshot(s).build()));
      case MIRROR_WATCH ->
          relay.onWatch(
              fromNode,
              frame.getMirrorWatch(),
              changes -> reply.accept(replyFrame.setMirrorChanges(changes).build()));
      case COPY_PART_REQUEST ->
          reply.accept(
              replyFrame.setCopyPart(copies.answer(fromNode, frame.getCopyPartRequest())).build());
      default -> throw new IllegalArgumentException("not a frame of the mirrors");
    }
  }

  /** The fault that broke the link may also have interrupted the store watches. */
  void onLinkLost() {
    mirrors.all().forEach(KindMirror::restart);
  }

  private void onWatcherChange(Optional<String> watcher) {
    EventLog.write(LogEvent.WATCHER_CHANGED, "watcher=" + watcher.orElse("store"));
    mirrors.all().forEach(KindMirror::restart);
  }

  private void onStoreSilent() {
    mirrors.all().forEach(KindMirror::onStoreSilent);
  }
}
