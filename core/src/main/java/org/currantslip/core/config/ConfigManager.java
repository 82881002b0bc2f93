package org.currantslip.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.rules.RulesException;
import org.currantslip.core.rules.RulesParser;
import org.currantslip.schema.AcceptedConfig;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.ApplyRequest;
import org.currantslip.schema.ConfigAnnounce;
import org.currantslip.schema.ConfigRequest;
import org.currantslip.schema.NodeId;

/** Keeps this node on the newest accepted configuration and applies changes to it. */
public final class ConfigManager implements ConfigSource {
  private static final int MAX_CONCURRENT_APPLIES = 16;

  private final NodeId self;
  private final Clock clock;
  private final ConfigOptions options;
  private final TaskScheduler scheduler;
  private final PeerRing ring;
  private final ConfigHolder holder;
  private final Freshness freshness;
  private final ConfigWatch watch;
  private final ConfigPull pull;
  private final VersionGossip gossip;
  private final ConfigWriter writer;
  private final List<ApplyTracker> trackers = new ArrayList<>();
  private int activeApplies;
  private boolean started;
  private boolean announcePending;

  private ConfigManager(
      NodeId self,
      ObjectStore store,
      PeerNetwork network,
      Membership membership,
      Clock clock,
      ConfigOptions options) {
    this.self = self;
    this.clock = clock;
    this.options = options;
    scheduler = TaskScheduler.create(clock);
    ring = PeerRing.create(membership, clock);
    holder = ConfigHolder.create(c -> announcePending = true);
    freshness = Freshness.create(clock, ring, options.freshMs());
    watch = ConfigWatch.create(self, store, ring, clock, options, scheduler, holder, freshness);
    pull = ConfigPull.create(clock, network, holder, options);
    gossip =
        VersionGossip.create(
            self.getName(), clock, network, ring, holder, freshness, pull, options);
    writer = ConfigWriter.create(self, store, clock, options, scheduler);
  }

  /** Returns a manager without a configuration. */
  public static ConfigManager create(
      NodeId self,
      ObjectStore store,
      PeerNetwork network,
      Membership membership,
      Clock clock,
      ConfigOptions options) {
    return new ConfigManager(self, store, network, membership, clock, options);
  }

  /** Starts reading from the store and probing peers. */
  public void start() {
    started = true;
    tick();
  }

  @Override
  public ConfigView current() {
    return holder.view();
  }

  @Override
  public boolean isFresh() {
    return freshness.isFresh(holder.version());
  }

  /** Returns the accepted configuration in force, including who applied it. */
  public AcceptedConfig acceptedConfig() {
    return holder.config();
  }

  /**
   * Returns the time since this node, or a peer that reported to it, confirmed the newest version.
   */
  public long ageMs() {
    return freshness.ageMs();
  }

  /** Handles an announcement, a probe or the reply to a probe. */
  public void onAnnounce(String fromNode, ConfigAnnounce announce) {
    List<String> reached = gossip.onAnnounce(fromNode, announce);
    trackers.stream()
        .filter(t -> announce.getVersion() >= t.version())
        .forEach(t -> t.addReached(reached));
    announceIfPending();
  }

  /** Handles a configuration that a peer sent without a request. */
  public void onConfig(AcceptedConfig config) {
    holder.offer(config);
    announceIfPending();
  }

  /** Answers a peer that requests a configuration newer than its own; empty if there is none. */
  public Optional<AcceptedConfig> onRequest(ConfigRequest request) {
    return Optional.of(holder.config()).filter(c -> c.getVersion() > request.getHaveVersion());
  }

  /**
   * Applies a change requested by {@code askedBy} under the name of an operator. Completes when it
   * is in force on every live node, or after the requested wait with the nodes where it is missing;
   * fails with {@link ApplyException}.
   */
  public CompletableFuture<ApplyReply> apply(String operator, ApplyRequest request) {
    if (request.getAskedBy().isBlank()) {
      return failed(ResultCode.ASKER_MISSING, "a change must name the person who requested it");
    }
    if (activeApplies >= MAX_CONCURRENT_APPLIES) {
      return failed(
          ResultCode.OVERLOADED, "too many configuration changes in progress on this node");
    }
    ConfigChange change;
    try {
      change =
          new ConfigChange(
              operator,
              request.getAskedBy().strip(),
              request.getBaseVersion(),
              request.getRulesText(),
              RulesParser.parse(request.getRulesText()),
              request.getNonce() == 0 ? writer.newNonce() : request.getNonce());
    } catch (RulesException e) {
      return CompletableFuture.failedFuture(ApplyException.invalid(e.problems()));
    }
    if (request.getDryRun()) {
      return writer
          .check(change)
          .thenApply(c -> ApplyReply.newBuilder().setVersion(c.getVersion()).build());
    }
    ring.refreshNow();
    if (!freshness.seesMajority()) {
      return failed(
          ResultCode.STORE_UNAVAILABLE,
          "this node cannot reach a majority of the nodes; apply through another node");
    }
    activeApplies++;
    return writer
        .write(change)
        .thenCompose(c -> announceAndWait(c, request.getWaitMs()))
        .whenComplete((reply, failure) -> activeApplies--);
  }

  /** Runs due tasks; called every few milliseconds. */
  public void tick() {
    if (!started) {
      return;
    }
    scheduler.tick();
    watch.tick();
    pull.tick();
    gossip.tick();
    announceIfPending();
    for (ApplyTracker tracker : List.copyOf(trackers)) {
      if (tracker.tick()) {
        trackers.remove(tracker);
      }
    }
  }

  private CompletableFuture<ApplyReply> announceAndWait(AcceptedConfig accepted, int waitMs) {
    holder.offer(accepted);
    announceIfPending();
    long wait = waitMs > 0 ? waitMs : options.applyWaitMs();
    ApplyTracker tracker =
        ApplyTracker.start(clock, ring, gossip, self.getName(), accepted.getVersion(), wait);
    trackers.add(tracker);
    return tracker.result();
  }

  private void announceIfPending() {
    if (announcePending) {
      announcePending = false;
      gossip.announce();
    }
  }

  private static CompletableFuture<ApplyReply> failed(ResultCode code, String detail) {
    return CompletableFuture.failedFuture(ApplyException.of(code, detail));
  }
}
