package org.currantslip.node.wiring;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.currantslip.core.audit.DecisionLog;
import org.currantslip.core.burn.BurnLog;
import org.currantslip.core.burn.BurnRecorder;
import org.currantslip.core.cascade.RatedCascade;
import org.currantslip.core.common.Clock;
import org.currantslip.core.config.ConfigManager;
import org.currantslip.core.config.ConfigOptions;
import org.currantslip.core.ledger.Ledger;
import org.currantslip.core.ledger.LedgerOptions;
import org.currantslip.core.ledger.StoreLedger;
import org.currantslip.core.limits.AdmissionOptions;
import org.currantslip.core.limits.FairAdmission;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.request.EndpointClient;
import org.currantslip.core.request.EngineOptions;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.RequestOutcome;
import org.currantslip.core.request.RequestPorts;
import org.currantslip.core.rollout.EvidenceVersionPolicy;
import org.currantslip.core.rollout.RolloutController;
import org.currantslip.core.rollout.RolloutOptions;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.core.session.HmacSessionTokens;
import org.currantslip.core.session.HomeNodeBindings;
import org.currantslip.core.session.SessionBindings;
import org.currantslip.core.usage.PeerUsageSpool;
import org.currantslip.core.usage.UsageOptions;
import org.currantslip.core.usage.UsageSpool;
import org.currantslip.node.duty.TickStep;
import org.currantslip.node.poll.PendingAnswers;
import org.currantslip.schema.DecisionRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.TimeoutSettings;

/**
 * The components that make routing and admission decisions, created in dependency order.
 *
 * <p>They may be used only on the decision thread.
 */
record CoreComponents(
    HeartbeatMembership membership,
    ConfigManager config,
    FairAdmission admission,
    Ledger ledger,
    UsageSpool usage,
    SessionBindings sessionBindings,
    EvidenceVersionPolicy versions,
    RolloutController rollouts,
    ExpectedWaitChooser chooser,
    RatedCascade cascade,
    DecisionLog decisionLog,
    BurnLog burn,
    PendingAnswers pendingAnswers,
    RequestEngine engine) {

  static CoreComponents create(
      NodeSettings settings,
      HeartbeatMembership membership,
      ObjectStore store,
      PeerNetwork peers,
      EndpointClient endpointClient,
      Clock clock,
      Consumer<RequestOutcome> onOutcome) {
    NodeId self = membership.self().getId();
    TimeoutSettings timeouts = settings.getTimeouts();
    long seed = self.getIncarnation();
    ConfigManager config =
        ConfigManager.create(
            self,
            store,
            peers,
            membership,
            clock,
            ConfigOptions.of(timeouts.getConfigFreshMs(), timeouts.getStoreMs(), seed));
    FairAdmission admission =
        FairAdmission.create(self, membership, clock, AdmissionOptions.defaults(), seed);
    Ledger ledger =
        StoreLedger.create(
            self,
            store,
            peers,
            membership,
            clock,
            LedgerOptions.defaults()
                .withWindowAndStoreTimeout(
                    Integer.toUnsignedLong(timeouts.getKeyWindowMs()), timeouts.getStoreMs()));
    UsageSpool usage =
        PeerUsageSpool.create(
            membership.self(),
            store,
            peers,
            membership,
            clock,
            UsageOptions.of(settings.getLimits().getUsageSpoolRecords(), timeouts.getStoreMs()));
    SessionBindings sessionBindings = HomeNodeBindings.create(membership, peers);
    EvidenceVersionPolicy versions =
        EvidenceVersionPolicy.create(self, clock, RolloutOptions.defaults());
    ExpectedWaitChooser chooser =
        ExpectedWaitChooser.create(clock, settings.getFailureDomain(), seed);
    RatedCascade cascade = RatedCascade.create(clock);
    DecisionLog decisionLog = DecisionLog.create(self, store, clock);
    BurnRecorder burnRecorder = BurnRecorder.create(clock, config);
    PendingAnswers pendingAnswers = PendingAnswers.create(versions, cascade, burnRecorder);
    Consumer<DecisionRecord> onDecision = pendingAnswers::add;
    byte[] sessionSecret =
        settings.getSecurity().getSessionSecret().getBytes(StandardCharsets.UTF_8);
    RequestPorts ports =
        new RequestPorts(
            clock,
            self.getName(),
            config,
            admission,
            ledger,
            usage,
            HmacSessionTokens.create(sessionSecret),
            sessionBindings,
            versions,
            chooser,
            cascade,
            endpointClient,
            onDecision.andThen(decisionLog::add),
            onOutcome.andThen(burnRecorder::record));
    RequestEngine engine =
        RequestEngine.create(
            ports, EngineOptions.of(timeouts.getFirstByteMs(), timeouts.getBetweenChunksMs()));
    return new CoreComponents(
        membership,
        config,
        admission,
        ledger,
        usage,
        sessionBindings,
        versions,
        RolloutController.create(self, store, membership, config, versions, clock),
        chooser,
        cascade,
        decisionLog,
        BurnLog.create(self, store, clock, burnRecorder),
        pendingAnswers,
        engine);
  }

  void tick() {
    TickStep.run("membership", membership::tick);
    TickStep.run("config", config::tick);
    TickStep.run("admission", admission::tick);
    TickStep.run("rollout_control", rollouts::tick);
    TickStep.run("ledger", ledger::tick);
    TickStep.run("usage", usage::tick);
    TickStep.run("engine", engine::tick);
    TickStep.run("decisionLog", decisionLog::tick);
    TickStep.run("burn", burn::tick);
  }

  /** Flushes the decision log, the burn log and the usage spool to durable storage. */
  CompletableFuture<Void> flush() {
    return CompletableFuture.allOf(decisionLog.flush(), burn.write(), usage.flush());
  }
}
