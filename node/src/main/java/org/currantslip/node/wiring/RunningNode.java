package org.currantslip.node.wiring;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.membership.MembershipOptions;
import org.currantslip.core.membership.PlannedStop;
import org.currantslip.core.request.RequestHandle;
import org.currantslip.core.request.RequestIds;
import org.currantslip.core.request.RequestOutcome;
import org.currantslip.node.admin.AdminComponents;
import org.currantslip.node.admin.AdminHandler;
import org.currantslip.node.admin.NodeAdminOperations;
import org.currantslip.node.admin.OperatorTokens;
import org.currantslip.node.caller.AccountTokens;
import org.currantslip.node.caller.CallerOptions;
import org.currantslip.node.caller.CallerTraffic;
import org.currantslip.node.caller.EntryView;
import org.currantslip.node.caller.FrontDoor;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.node.duty.TickStep;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.metrics.MetricsHandler;
import org.currantslip.node.metrics.NodeMetrics;
import org.currantslip.node.peer.PeerLinks;
import org.currantslip.node.peer.PeerOptions;
import org.currantslip.node.peer.PeerTls;
import org.currantslip.node.poll.RecentEndpointTracker;
import org.currantslip.schema.ConfigAnnounce;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.NodeState;
import org.eclipse.jetty.server.Server;

/** A running node with its threads, ports and components. */
public final class RunningNode {
  private static final long INCARNATION_TIMEOUT_MS = 3_000;
  private static final long FLUSH_TIMEOUT_MS = 10_000;
  private static final long JOIN_RECORD_UPDATE_TIMEOUT_MS = 3_000;

  private final Clock clock = MonotonicClock.create();
  private final NodeMetrics metrics = NodeMetrics.create();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final DecisionThread decisionThread;
  private final PlatformPorts platform;
  private final PeerLinks peerLinks;
  private final HeartbeatMembership membership;
  private final CoreComponents core;
  private final NodePolls polls;
  private final NodePublisher publisher;
  private final CallerTraffic callerTraffic;
  private final PlannedStop plannedStop;
  private final FrontDoor frontDoor;
  private final Server adminServer;
  private volatile boolean superseded;
  private boolean closed;

  private RunningNode(NodeSettings settings, PeerTls tls) throws InterruptedException {
    decisionThread = DecisionThread.create(clock);
    platform = PlatformPorts.open(settings, decisionThread);
    decisionThread.start();
    NodeRecord self =
        SelfRecord.of(
            settings,
            IncarnationAllocator.allocate(
                    settings.getName(),
                    platform.store(),
                    decisionThread,
                    clock,
                    INCARNATION_TIMEOUT_MS)
                .incarnation(),
            clock);
    AtomicReference<HeartbeatMembership> membershipRef = new AtomicReference<>();
    peerLinks =
        PeerLinks.create(
            self,
            PeerOptions.from(settings),
            tls,
            clock,
            decisionThread.control(),
            name -> Optional.ofNullable(membershipRef.get()).flatMap(m -> m.lastKnown(name)));
    membership =
        HeartbeatMembership.create(
            self,
            platform.store(),
            peerLinks,
            clock,
            MembershipOptions.of(
                settings.getTimeouts().getHeartbeatMs(), settings.getTimeouts().getPeerSilentMs()));
    membershipRef.set(membership);
    RecentEndpointTracker recentEndpointTracker =
        RecentEndpointTracker.create(platform.endpointClient(), clock);
    core =
        CoreComponents.create(
            settings,
            membership,
            platform.store(),
            peerLinks,
            recentEndpointTracker,
            clock,
            this::onOutcome);
    polls =
        NodePolls.create(
            core, platform, peerLinks, recentEndpointTracker, core.pendingAnswers(), clock);
    membership.setConfigStatus(this::configStatus);
    RequestIds requestIds = RequestIds.create(self.getId());
    frontDoor =
        FrontDoor.create(
            CallerOptions.from(settings),
            AccountTokens.of(settings.getAccountList()),
            clock,
            decisionThread,
            (request, sink) -> {
              RequestHandle handle = core.engine().start(request, sink);
              return handle::onCallerDisconnected;
            },
            () -> nextRequestId(requestIds),
            this::entryView);
    callerTraffic = CallerTraffic.create(frontDoor, core.engine());
    plannedStop =
        PlannedStop.create(membership, clock, callerTraffic, core::flush, stopOptions(settings));
    publisher =
        NodePublisher.create(
            core,
            peerLinks,
            plannedStop,
            metrics,
            frontDoor::inFlight,
            decisionThread::waiting,
            clock);
    adminServer =
        AdminServer.create(
            settings.getAdmin(),
            MetricsHandler.create(metrics),
            AdminHandler.create(
                NodeAdminOperations.create(adminComponents(), decisionThread),
                OperatorTokens.of(settings.getOperatorList())));
  }

  /** Starts a node and returns it once its ports are open. */
  public static RunningNode start(NodeSettings settings, PeerTls tls) throws Exception {
    RunningNode node = new RunningNode(settings, tls);
    try {
      node.peerLinks.listen(FrameRouter.create(node.core, node.polls));
      node.adminServer.start();
      node.frontDoor.start();
    } catch (Exception e) {
      node.close();
      throw e;
    }
    EventLog.write(
        LogEvent.NODE_STARTED,
        "node="
            + settings.getName()
            + " incarnation="
            + node.membership.self().getId().getIncarnation());
    node.decisionThread.execute(node::startTicking);
    return node;
  }

  private static String nextRequestId(RequestIds requestIds) {
    synchronized (requestIds) {
      return requestIds.next();
    }
  }

  private static PlannedStop.Options stopOptions(NodeSettings settings) {
    var timeouts = settings.getTimeouts();
    long entryExpiryMs = (long) timeouts.getEntryTtlMs() + timeouts.getPeerSilentMs();
    return new PlannedStop.Options(
        entryExpiryMs, timeouts.getDrainMs(), FLUSH_TIMEOUT_MS, JOIN_RECORD_UPDATE_TIMEOUT_MS);
  }

  private ConfigAnnounce configStatus() {
    return ConfigAnnounce.newBuilder()
        .setVersion(core.config().current().version())
        .setAgeMs(core.config().ageMs())
        .build();
  }

  private AdminComponents adminComponents() {
    return new AdminComponents(
        clock,
        core.config(),
        core.decisionLog(),
        membership,
        core.chooser(),
        platform.store(),
        core.burn(),
        () -> NodeStatusView.of(core),
        core.versions()::states,
        this::drain);
  }

  private void onOutcome(RequestOutcome outcome) {
    metrics.record(outcome);
    if (EventLog.isOn(LogEvent.REQUEST_ENDED)) {
      EventLog.write(
          LogEvent.REQUEST_ENDED,
          String.format(
              "account=%s task=%s model=%s version=%s code=%d ran=%s total_ms=%d attempts=%d",
              outcome.account(),
              outcome.task(),
              outcome.model(),
              outcome.version(),
              outcome.code().number(),
              outcome.ran().text(),
              outcome.totalMs(),
              outcome.attempts()));
    }
  }

  private EntryView entryView() {
    return publisher.entryView();
  }

  private CompletableFuture<String> drain() {
    plannedStop.begin();
    return CompletableFuture.completedFuture(plannedStop.phase().name());
  }

  private void startTicking() {
    core.config().start();
    decisionThread.onTick(this::tick);
  }

  private void serveIfFresh() {
    if (membership.self().getState() == NodeState.JOINING && core.config().isFresh()) {
      membership.serve();
      EventLog.write(LogEvent.NODE_SERVING, "");
    }
  }

  private void tick() {
    TickStep.run("core", core::tick);
    TickStep.run("links", peerLinks::tick);
    TickStep.run("polls", polls::tick);
    TickStep.run("stop", plannedStop::tick);
    TickStep.run("serve", this::serveIfFresh);
    TickStep.run("publish", publisher::tick);
    TickStep.run("superseded", () -> membership.supersededBy().ifPresent(this::onSuperseded));
    if (superseded || plannedStop.phase() == PlannedStop.Phase.DONE) {
      stopped.countDown();
    }
  }

  private void onSuperseded(NodeRecord other) {
    if (!superseded) {
      superseded = true;
      callerTraffic.refuseRequests();
      callerTraffic.endRequests();
      EventLog.write(
          LogEvent.NODE_SUPERSEDED,
          "incarnation=" + other.getId().getIncarnation() + " state=" + other.getState());
    }
  }

  /** Begins a planned stop. */
  public void beginPlannedStop() {
    long requestedMs = clock.nowMs();
    decisionThread.execute(() -> plannedStop.beginRequested(requestedMs));
  }

  /**
   * Waits until the node has stopped, then closes it.
   *
   * @return whether every step of the planned stop finished in time and no newer process superseded
   *     this one
   */
  public boolean awaitStop() throws Exception {
    stopped.await();
    close();
    return isClean();
  }

  private boolean isClean() {
    return !superseded && plannedStop.isClean();
  }

  private synchronized void close() throws Exception {
    if (closed) {
      return;
    }
    closed = true;
    frontDoor.stop();
    adminServer.stop();
    peerLinks.close();
    platform.close();
    decisionThread.stop();
    metrics.close();
    EventLog.write(LogEvent.NODE_STOPPED, "clean=" + isClean());
  }
}
