package org.currantslip.core.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.cascade.RatedCascade;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.ledger.LedgerOptions;
import org.currantslip.core.ledger.StoreLedger;
import org.currantslip.core.limits.AdmissionOptions;
import org.currantslip.core.limits.FairAdmission;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.request.EngineOptions;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.RequestPorts;
import org.currantslip.core.rollout.EvidenceVersionPolicy;
import org.currantslip.core.rollout.RolloutOptions;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.core.session.HmacSessionTokens;
import org.currantslip.core.session.HomeNodeBindings;
import org.currantslip.core.usage.PeerUsageSpool;
import org.currantslip.core.usage.UsageOptions;
import org.currantslip.schema.DecisionRecord;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** One node with the production request path, wired to the fakes of a {@link Fleet}. */
final class FleetNode implements ConfigSource {
  static final long STORE_MS = 2_000;
  private static final int SPOOL_RECORDS = 1_000;
  private static final byte[] SECRET =
      "secret of the fleet's tests".getBytes(StandardCharsets.UTF_8);

  final NodeRecord record;
  final FakeObjectStore.Link link;
  final FakeMembership membership;
  final StoreLedger ledger;
  final PeerUsageSpool usage;
  final HomeNodeBindings sessionBindings;
  final ExpectedWaitChooser chooser;
  final RequestEngine engine;
  final List<DecisionRecord> decisions = new ArrayList<>();
  private final Fleet fleet;
  private final List<Runnable> deferred = new ArrayList<>();
  private ConfigView config;
  private boolean fresh = true;
  private boolean frozen;
  private boolean dead;
  private long nextRequest = 1;

  FleetNode(Fleet fleet, NodeRecord record, FakeMembership membership, ConfigView config) {
    this.fleet = fleet;
    this.record = record;
    this.membership = membership;
    this.config = config;
    link = fleet.store.newLink();
    PeerNetwork peers = fleet.network.join(name(), this::onFrame);
    ledger =
        StoreLedger.create(
            record.getId(), link, peers, membership, fleet.clock, LedgerOptions.defaults());
    usage =
        PeerUsageSpool.create(
            record, link, peers, membership, fleet.clock, UsageOptions.of(SPOOL_RECORDS, STORE_MS));
    sessionBindings = HomeNodeBindings.create(membership, peers);
    long seed = record.getId().getIncarnation();
    chooser = ExpectedWaitChooser.create(fleet.clock, record.getFailureDomain(), seed);
    chooser.onEndpoints(fleet.endpoints.records());
    engine =
        RequestEngine.create(
            new RequestPorts(
                fleet.clock,
                name(),
                this,
                FairAdmission.create(
                    record.getId(), membership, fleet.clock, AdmissionOptions.defaults(), seed),
                ledger,
                usage,
                HmacSessionTokens.create(SECRET),
                sessionBindings,
                EvidenceVersionPolicy.create(
                    record.getId(), fleet.clock, RolloutOptions.defaults()),
                chooser,
                RatedCascade.create(fleet.clock),
                (endpoint, request, listener) ->
                    fleet.endpoints.start(this, endpoint, request, listener),
                decisions::add,
                outcome -> {}),
            EngineOptions.of(Fleet.FIRST_BYTE_MS, Fleet.BETWEEN_DATA_MS));
  }

  String name() {
    return record.getId().getName();
  }

  String newRequestId() {
    return name() + "." + record.getId().getIncarnation() + "." + nextRequest++;
  }

  boolean isDead() {
    return dead;
  }

  boolean isFrozen() {
    return frozen;
  }

  void setConfig(ConfigView next) {
    config = next;
  }

  void setFresh(boolean upToDate) {
    fresh = upToDate;
  }

  @Override
  public ConfigView current() {
    return config;
  }

  @Override
  public boolean isFresh() {
    return fresh;
  }

  void tick() {
    if (!dead && !frozen) {
      engine.tick();
      ledger.tick();
      usage.tick();
    }
  }

  /** Runs an external event on this node; deferred while it is frozen, dropped if it is dead. */
  void runOnNode(Runnable action) {
    if (frozen) {
      deferred.add(action);
    } else if (!dead) {
      action.run();
    }
  }

  void kill() {
    dead = true;
    link.kill();
    fleet.network.remove(name());
  }

  void freeze() {
    frozen = true;
    link.freeze();
    fleet.network.freeze(name());
  }

  void thaw() {
    frozen = false;
    fleet.network.thaw(name());
    link.thaw();
    List<Runnable> events = List.copyOf(deferred);
    deferred.clear();
    events.forEach(this::runOnNode);
  }

  private CompletableFuture<PeerFrame> onFrame(String from, PeerFrame frame) {
    PeerFrame.Builder reply = PeerFrame.newBuilder();
    return switch (frame.getBodyCase()) {
      case LEDGER_APPEND ->
          ledger
              .onAppend(frame.getLedgerAppend())
              .thenApply(r -> reply.setLedgerAppendReply(r).build());
      case INTENT_QUERY ->
          completed(reply.setIntentAnswer(ledger.answerIntentQuery(frame.getIntentQuery())));
      case USAGE_COPY -> completed(reply.setUsageCopyAck(usage.onCopy(frame.getUsageCopy())));
      case USAGE_RELEASE -> {
        usage.onRelease(frame.getUsageRelease());
        yield new CompletableFuture<>();
      }
      case SESSION_QUERY ->
          completed(reply.setSessionAnswer(sessionBindings.onQuery(frame.getSessionQuery())));
      default -> new CompletableFuture<>();
    };
  }

  private static CompletableFuture<PeerFrame> completed(PeerFrame.Builder reply) {
    return CompletableFuture.completedFuture(reply.build());
  }
}
