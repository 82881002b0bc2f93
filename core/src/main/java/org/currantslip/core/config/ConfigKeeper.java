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

/** Keeps this node on the newest accepted configuration, and stores changes to it. */
public final class ConfigKeeper implements ConfigSource {
  private static final int MAX_APPLIES = 16;

  private final NodeId self;
  private final Clock clock;
  private final ConfigOptions options;
  private final DueTasks tasks;
  private final PeerRing ring;
  private final ConfigHolder holder;
  private final Freshness freshness;
  private final ConfigWatch watch;
  private final ConfigPull pull;
  private final PeerSpread spread;
  private final ConfigWriter writer;
  private final List<ApplyTally> tallies = new ArrayList<>();
  private int applies;
  private boolean started;
  private boolean adopted;

  private ConfigKeeper(
      NodeId self,
      ObjectStore store,
      PeerNetwork network,
      Membership membership,
      Clock clock,
      ConfigOptions options) {
    this.self = self;
    this.clock = clock;
    this.options = options;
    tasks = DueTasks.create(clock);
    ring = PeerRing.create(membership, clock);
    holder = ConfigHolder.create(c -> adopted = true);
    freshness = Freshness.create(clock, ring, options.freshMs());
    watch = ConfigWatch.create(self, store, ring, clock, options, tasks, holder, freshness);
    pull = ConfigPull.create(clock, network, holder, options);
    spread =
        PeerSpread.create(self.getName(), clock, network, ring, holder, freshness, pull, options);
    writer = ConfigWriter.create(self, store, clock, options, tasks);
  }

  /** Returns a keeper that has no configuration yet. */
  public static ConfigKeeper create(
      NodeId self,
      ObjectStore store,
      PeerNetwork network,
      Membership membership,
      Clock clock,
      ConfigOptions options) {
    return new ConfigKeeper(self, store, network, membership, clock, options);
  }

  /** Starts to read the store and to ask peers. */
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

  /** Returns the accepted configuration in force, with who applied it. */
  public AcceptedConfig accepted() {
    return holder.config();
  }

  /** Returns the time since this node, or a peer that told it, confirmed the newest version. */
  public long ageMs() {
    return freshness.ageMs();
  }

  /** Takes an announcement, a probe or the answer to one. */
  public void onAnnounce(String fromNode, ConfigAnnounce announce) {
    List<String> reached = spread.onAnnounce(fromNode, announce);
    tallies.stream()
        .filter(t -> announce.getVersion() >= t.version())
        .forEach(t -> t.reached(reached));
    announceIfAdopted();
  }

  /** Takes a configuration that a peer sent unasked. */
  public void onConfig(AcceptedConfig config) {
    holder.offer(config);
    announceIfAdopted();
  }

  /** Answers a peer that asks for a configuration newer than its own. */
  public Optional<AcceptedConfig> onRequest(ConfigRequest request) {
    return Optional.of(holder.config()).filter(c -> c.getVersion() > request.getHaveVersion());
  }

  /**
   * Applies a change asked for by {@code askedBy} in the name of an operator. Completes when it is
   * in force on every live node, or after the wait asked for, with the nodes where it is not; fails
   * with {@link ApplyException}.
   */
  public CompletableFuture<ApplyReply> apply(String operator, ApplyRequest request) {
    if (request.getAskedBy().isBlank()) {
      return fail(ResultCode.ASKER_MISSING, "a change has to name who asked for it");
    }
    if (applies >= MAX_APPLIES) {
      return fail(ResultCode.OVERLOADED, "too many changes are under way on this node");
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
    ring.renew();
    if (!freshness.seesMajority()) {
      return fail(
          ResultCode.STORE_UNAVAILABLE,
          "this node is cut off from most nodes; apply through another one");
    }
    applies++;
    return writer
        .write(change)
        .thenCompose(c -> spreadAndWait(c, request.getWaitMs()))
        .whenComplete((reply, failure) -> applies--);
  }

  /** Does what is due; called every few milliseconds. */
  public void tick() {
    if (!started) {
      return;
    }
    tasks.tick();
    watch.tick();
    pull.tick();
    spread.tick();
    announceIfAdopted();
    for (ApplyTally tally : List.copyOf(tallies)) {
      if (tally.tick()) {
        tallies.remove(tally);
      }
    }
  }

  private CompletableFuture<ApplyReply> spreadAndWait(AcceptedConfig accepted, int waitMs) {
    holder.offer(accepted);
    announceIfAdopted();
    long wait = waitMs > 0 ? waitMs : options.applyWaitMs();
    ApplyTally tally =
        ApplyTally.start(clock, ring, spread, self.getName(), accepted.getVersion(), wait);
    tallies.add(tally);
    return tally.done();
  }

  private void announceIfAdopted() {
    if (adopted) {
      adopted = false;
      spread.announce();
    }
  }

  private static CompletableFuture<ApplyReply> fail(ResultCode code, String detail) {
    return CompletableFuture.failedFuture(ApplyException.of(code, detail));
  }
}
