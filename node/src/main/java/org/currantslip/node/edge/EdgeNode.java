package org.currantslip.node.edge;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.core.allowance.EndpointAllowances;
import org.currantslip.core.allowance.FleetPlaces;
import org.currantslip.core.allowance.RankedSenders;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.membership.Incarnations;
import org.currantslip.core.membership.PlannedStop;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.request.ForwardPorts;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.RequestIds;
import org.currantslip.core.rollout.ServiceRolloutController;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.routing.EndpointRegistry;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.node.caller.CallerTraffic;
import org.currantslip.node.caller.EntryView;
import org.currantslip.node.caller.FrontDoor;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.node.duty.TickStep;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.metrics.MetricsHandler;
import org.currantslip.node.metrics.NodeGauges;
import org.currantslip.node.metrics.NodeMetrics;
import org.currantslip.node.peer.PeerLinks;
import org.currantslip.node.peer.PeerTls;
import org.currantslip.node.wiring.IncarnationAllocator;
import org.currantslip.node.wiring.MonotonicClock;
import org.currantslip.platform.ObjectsClient;
import org.currantslip.platform.RolloutOrderCodec;
import org.currantslip.platform.RunnerCalls;
import org.currantslip.platform.WireCallerProtocol;
import org.currantslip.schema.EdgeSettings;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.VersionHalt;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;

/** A running edge node: creates and connects its threads, servers and components. */
public final class EdgeNode {
  private static final int HTTP_CLIENT_THREADS = 8;

  /** A node whose decisions stand still for longer is not ready. */
  private static final long MAX_READY_LAG_MS = 1_000;

  /** Allows several round trips even between regions; a slower endpoint is considered down. */
  private static final long CONNECT_TIMEOUT_MS = 400;

  private static final long STORE_TIMEOUT_MS = 1_000;

  /** If the store does not respond in time, the incarnation is taken from the clock. */
  private static final long INCARNATION_TIMEOUT_MS = 800;

  /** Allows several attempts to read the configuration from the store. */
  private static final long MAX_PORT_CLOSED_MS = 5 * STORE_TIMEOUT_MS;

  private static final long PUBLISH_INTERVAL_MS = 50;

  /**
   * Shortest store outage, in report intervals, in which endpoint entries can expire. An entry
   * expires after three intervals, so that a shorter outage expires none.
   */
  private static final int MIN_OUTAGE_REPORTS = 2;

  private final Clock clock = MonotonicClock.create();
  private final NodeMetrics metrics = NodeMetrics.create();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final EdgeSettings settings;
  private final DecisionThread decisions;
  private final HttpClient storeClient;
  private final HttpClient endpointClient;
  private final PeerLinks peerLinks;
  private final HeartbeatMembership membership;
  private final FleetMirrors fleetMirrors;
  private final StoreMirrors mirrors;
  private final EndpointRegistry endpointRegistry;
  private final EndpointAllowances allowances;
  private final ExpectedWaitChooser endpointChooser;
  private final ServiceRollouts rollouts;
  private final ServiceRolloutController rolloutController;
  private final EvacuationDuty evacuationDuty;
  private final FleetReports reports;
  private final EdgeFrames frames;
  private final QuarantineLinks quarantineLinks;
  private final PromptQuarantine quarantine;
  private final RelayLinks relayLinks;
  private final SlotQueue requestQueue;
  private final RequestEngine requestEngine;
  private final CallerTraffic callerTraffic;
  private final PlannedStop plannedStop;
  private final FrontDoor callerServer;
  private final NodeStart nodeStart;
  private final CallerPort callerPort;
  private final DirectoryLookUps directoryLookUps;
  private final Server managementServer;
  private PlannedStop.Phase lastStopPhase = PlannedStop.Phase.RUNNING;
  private volatile EntryView entryView = EntryView.empty();
  private volatile boolean ready;
  private volatile boolean superseded;
  private long nextPublishMs;
  private int endpointCount;
  private long idleTimeoutMs;
  private boolean closed;

  private EdgeNode(EdgeSettings settings, HttpClient endpointClient) throws InterruptedException {
    this.settings = settings;
    this.endpointClient = endpointClient;
    decisions = DecisionThread.create(clock);
    storeClient = HttpClients.startWithoutTls("store", HTTP_CLIENT_THREADS, CONNECT_TIMEOUT_MS);
    decisions.start();
    ObjectsClient store =
        ObjectsClient.open(
            storeClient,
            "http://" + settings.getStore().getAddress(),
            decisions.control(),
            STORE_TIMEOUT_MS,
            settings.getStore().getValueBytes());
    Incarnations.Allocation allocation =
        IncarnationAllocator.allocate(
            settings.getName(), store, decisions, clock, INCARNATION_TIMEOUT_MS);
    NodeRecord self = selfRecord(allocation.incarnation());
    final long seed = self.getId().getIncarnation();
    AtomicReference<HeartbeatMembership> membershipRef = new AtomicReference<>();
    peerLinks =
        PeerLinks.create(
            self,
            EdgeOptions.peer(settings),
            PeerTls.none(),
            clock,
            decisions.control(),
            name -> Optional.ofNullable(membershipRef.get()).flatMap(m -> m.lastKnown(name)));
    membership =
        HeartbeatMembership.create(self, store, peerLinks, clock, EdgeOptions.membership());
    membershipRef.set(membership);
    if (allocation.firstStart()) {
      membership.assumeNoJoinRecord();
    }
    fleetMirrors = FleetMirrors.create(settings, store, peerLinks, membership, clock, seed);
    mirrors = fleetMirrors.mirrors();
    allowances =
        EndpointAllowances.create(
            RankedSenders.create(membership),
            FleetPlaces.create(membership, clock, settings.getBounds().getContactMs()),
            EdgeOptions.allowance(settings),
            service -> mirrors.routes().current().service(service),
            EventLog::write,
            seed);
    endpointChooser =
        ExpectedWaitChooser.create(clock, settings.getFailureDomain(), seed, allowances);
    rollouts = ServiceRollouts.create(self.getId(), this::onHalt);
    endpointRegistry =
        EndpointRegistry.create(
            clock,
            (long) MIN_OUTAGE_REPORTS * settings.getStore().getEndpointReportMs(),
            this::onEndpoints);
    mirrors.connectRegistry(endpointRegistry);
    mirrors.connectRollouts(rollouts);
    rolloutController =
        ServiceRolloutController.create(
            membership,
            rollouts,
            (order, progress) -> {
              EventLog.write(
                  LogEvent.ROLLOUT_STAGE,
                  "service=%s target=%s state=%s share=%.3f order_version=%d seen=%d"
                      .formatted(
                          order.service(),
                          order.target(),
                          progress.state(),
                          progress.share(),
                          order.storeVersion(),
                          rollouts.answeredRequests(order.service())));
              return store.putStatus(
                  RolloutOrderCodec.KIND,
                  order.service(),
                  RolloutOrderCodec.status(order, progress),
                  order.storeVersion());
            },
            clock,
            settings.getRollout().getExposureShare());
    evacuationDuty =
        EvacuationDuty.create(settings, clock, membership, mirrors, store, endpointChooser);
    RateLimitedTrace trace = RateLimitedTrace.create(clock);
    quarantineLinks = QuarantineLinks.create(membership, peerLinks, clock, seed);
    quarantine = PromptQuarantine.create(clock, quarantineLinks);
    quarantine.setListener(QuarantineLog.create(trace));
    relayLinks =
        RelayLinks.create(
            clock,
            membership,
            peerLinks,
            endpointChooser,
            quarantine,
            EdgeOptions.relay(settings),
            metrics.relayCounts());
    reports =
        FleetReports.create(
            clock, membership, peerLinks, rollouts, rolloutController, endpointChooser);
    frames =
        EdgeFrames.create(
            membership,
            fleetMirrors,
            rollouts,
            endpointChooser,
            quarantine,
            quarantineLinks,
            relayLinks);
    requestQueue =
        SlotQueue.withHomes(clock, endpointChooser::freeSlots, endpointChooser::closedForMs, seed);
    allowances.connect(AllowanceFrames.create(membership, peerLinks, reports, requestQueue));
    requestEngine =
        RequestEngine.forwarding(
            new ForwardPorts(
                clock,
                mirrors.routes(),
                requestQueue,
                endpointChooser,
                RetryBudget.create(
                    clock, EdgeOptions.retryBound(settings), () -> membership.live().size()),
                rollouts,
                SizeCascade.create(),
                quarantine,
                RunnerCalls.create(endpointClient, decisions, clock),
                metrics::record,
                trace,
                relayLinks.reach(),
                relayLinks.relay()));
    relayLinks.setCutListener(requestQueue::grantAll);
    relayLinks.serve(requestEngine, decisions::lagMs, trace);
    RequestIds ids = RequestIds.create(self.getId());
    callerServer =
        FrontDoor.forwarding(
            EdgeOptions.caller(settings),
            WireCallerProtocol.create(),
            clock,
            decisions,
            EdgeRequests.create(requestEngine, mirrors.routes()),
            () -> nextRequestId(ids),
            () -> entryView);
    nodeStart =
        NodeStart.create(
            settings,
            clock,
            membership,
            peerLinks,
            endpointClient,
            metrics,
            !allocation.firstStart());
    callerPort = CallerPort.create(clock, MAX_PORT_CLOSED_MS, this::openCallerPort);
    callerTraffic = CallerTraffic.create(callerServer, requestEngine, relayLinks::openPeerRequests);
    plannedStop =
        PlannedStop.create(
            membership,
            clock,
            callerTraffic,
            () -> CompletableFuture.completedFuture(null),
            EdgeOptions.stop(settings));
    directoryLookUps = DirectoryLookUps.create(clock, metrics, nodeStart::onLookUp);
    managementServer =
        ManagementServer.create(
            settings,
            () -> ready && decisions.lagMs() < MAX_READY_LAG_MS,
            directoryLookUps,
            MetricsHandler.create(metrics));
    membership.setReport(
        SelfCapacity.create(
                settings,
                decisions::lagMs,
                callerServer::inFlight,
                () -> relayLinks.reach().state().isUnreachable())
            ::report);
  }

  /**
   * Starts a node. Its ports for peers and administration are open when this method returns, that
   * for callers opens once the node can serve.
   */
  public static EdgeNode start(EdgeSettings settings) throws Exception {
    return start(settings, newEndpointClient());
  }

  /** Starts a node that calls endpoints through this client and stops it at its end. */
  static EdgeNode start(EdgeSettings settings, HttpClient endpointClient) throws Exception {
    EdgeNode node = new EdgeNode(settings, endpointClient);
    try {
      node.peerLinks.listen(node.frames);
      node.managementServer.start();
    } catch (Exception e) {
      node.close();
      throw e;
    }
    EventLog.write(
        LogEvent.NODE_STARTED,
        "node=%s incarnation=%d"
            .formatted(settings.getName(), node.membership.self().getId().getIncarnation()));
    node.decisions.execute(
        () -> {
          node.decisions.setIdle(node::isIdle);
          node.decisions.onTick(node::tick);
        });
    return node;
  }

  /** Returns a client for calls to endpoints. */
  static HttpClient newEndpointClient() {
    return HttpClients.startWithoutTls("endpoint", HTTP_CLIENT_THREADS, CONNECT_TIMEOUT_MS);
  }

  private void openCallerPort() throws Exception {
    WarmUp.Result warmUp = nodeStart.warmUp();
    synchronized (this) {
      if (closed || superseded || plannedStop.phase() != PlannedStop.Phase.RUNNING) {
        return;
      }
      callerServer.start();
    }
    nodeStart.onReady(warmUp);
  }

  /** A node that starts or stops is not idle, since each step of it waits for a tick. */
  private boolean isIdle() {
    return membership.self().getState() == NodeState.SERVING && requestEngine.activeCount() == 0;
  }

  private static String nextRequestId(RequestIds ids) {
    synchronized (ids) {
      return ids.next();
    }
  }

  private NodeRecord selfRecord(long incarnation) {
    return NodeRecord.newBuilder()
        .setId(NodeId.newBuilder().setName(settings.getName()).setIncarnation(incarnation))
        .setRegion(settings.getRegion())
        .setFailureDomain(settings.getFailureDomain())
        .setCallerAddress(settings.getListen().getCaller())
        .setPeerAddress(settings.getHost() + ":" + settings.getListen().getPeerPort())
        .setState(NodeState.JOINING)
        .setJoinedMs(clock.nowMs())
        .build();
  }

  private void onEndpoints(List<EndpointRecord> endpoints) {
    endpointCount = endpoints.size();
    evacuationDuty.onEndpoints(endpoints);
    endpointChooser.onEndpoints(endpoints);
    rollouts.onEndpoints(endpoints);
    relayLinks.onEndpoints(endpoints);
    EventLog.write(
        LogEvent.ENDPOINTS_CHANGED,
        "endpoints=%d leaving=%d"
            .formatted(
                endpoints.size(), endpoints.stream().filter(EndpointRecord::getLeaving).count()));
  }

  private void onHalt(VersionHalt halt) {
    EventLog.write(
        LogEvent.VERSION_STOPPED,
        "service=%s version=%s reason=%s"
            .formatted(halt.getService(), halt.getVersion(), halt.getReason()));
    reports.sendToOthers(PeerFrame.newBuilder().setVersionHalt(halt).build());
  }

  private void tick() {
    TickStep.run("membership", membership::tick);
    fleetMirrors.tick();
    TickStep.run("endpoints", endpointRegistry::tick);
    TickStep.run("quarantine", quarantine::tick);
    TickStep.run("quarantine_links", () -> quarantineLinks.tick(quarantine));
    TickStep.run("request_relay", relayLinks::tick);
    TickStep.run("queue", requestQueue::tick);
    TickStep.run("allowances", () -> allowances.tick(clock.nowMs()));
    TickStep.run("requests", requestEngine::tick);
    TickStep.run("rollout_control", rolloutController::tick);
    TickStep.run("evacuation", evacuationDuty::tick);
    TickStep.run("links", peerLinks::tick);
    TickStep.run("stop", plannedStop::tick);
    TickStep.run("stop_log", this::logStopPhase);
    TickStep.run("serve", this::serveIfReady);
    TickStep.run("reports", reports::tick);
    TickStep.run("publish", this::publishIfDue);
    TickStep.run("superseded", () -> membership.supersededBy().ifPresent(this::onSuperseded));
    if (superseded || callerPort.hasFailed() || plannedStop.phase() == PlannedStop.Phase.DONE) {
      stopped.countDown();
    }
  }

  private void serveIfReady() {
    boolean joining = membership.self().getState() == NodeState.JOINING;
    nodeStart.tick(joining && !superseded && mirrors.isUsable());
    if (joining) {
      callerPort.tick(mirrors.isUsable());
      if (callerPort.isOpen() && mirrors.routes().current().version() > 0) {
        membership.serve();
        EventLog.write(LogEvent.NODE_SERVING, "");
      }
    }
  }

  private void publishIfDue() {
    long nowMs = clock.nowMs();
    if (nowMs >= nextPublishMs) {
      nextPublishMs = nowMs + PUBLISH_INTERVAL_MS;
      publish();
    }
  }

  /** Logs each phase of a stop with the work that is left when it begins. */
  private void logStopPhase() {
    if (plannedStop.phase() == lastStopPhase) {
      return;
    }
    lastStopPhase = plannedStop.phase();
    EventLog.write(
        LogEvent.NODE_STOP_PHASE,
        "phase=%s unanswered=%d active=%d connections=%d queued_tasks=%d"
            .formatted(
                lastStopPhase,
                callerServer.inFlight(),
                requestEngine.activeCount(),
                callerServer.connectionCount(),
                decisions.waiting()));
  }

  private void onSuperseded(NodeRecord other) {
    if (!superseded) {
      superseded = true;
      callerTraffic.refuseRequests();
      callerTraffic.endRequests();
      EventLog.write(LogEvent.NODE_SUPERSEDED, "incarnation=" + other.getId().getIncarnation());
    }
  }

  private void publish() {
    boolean running = plannedStop.phase() == PlannedStop.Phase.RUNNING;
    var routeTable = mirrors.routes().current();
    ready = running && callerPort.isOpen() && routeTable.version() > 0;
    directoryLookUps.publish(membership, mirrors.routes()::current);
    entryView = new EntryView(membership.entryNodes(), routeTable.version());
    if (routeTable.limits().idleTimeoutMs() != idleTimeoutMs) {
      idleTimeoutMs = routeTable.limits().idleTimeoutMs();
      callerServer.setIdleTimeout(idleTimeoutMs);
    }
    metrics.setEvacuatedDomains(evacuationDuty.evacuatedCount());
    metrics.publish(
        new NodeGauges(
            callerServer.inFlight(),
            decisions.waiting(),
            membership.live().size(),
            membership.entryNodes().size(),
            peerLinks.openLinkCount(),
            peerLinks.framesReceived(),
            endpointCount,
            routeTable.version(),
            0,
            quarantine.quarantinedCount()));
    metrics.publish(allowances.counts(clock.nowMs()));
  }

  /** Begins a graceful shutdown. */
  public void beginStop() {
    long requestedMs = clock.nowMs();
    decisions.execute(() -> plannedStop.beginRequested(requestedMs));
  }

  /** Waits until the node has stopped, then closes it; returns false if work was cut short. */
  public boolean awaitStop() throws Exception {
    stopped.await();
    close();
    return !superseded && !callerPort.hasFailed() && plannedStop.isClean();
  }

  private synchronized void close() throws Exception {
    if (closed) {
      return;
    }
    closed = true;
    final int unansweredRequests = callerServer.inFlight();
    callerServer.stop();
    managementServer.stop();
    peerLinks.close();
    HttpClients.stop(endpointClient);
    HttpClients.stop(storeClient);
    decisions.stop();
    metrics.close();
    EventLog.write(
        LogEvent.NODE_STOPPED,
        "clean=%s unanswered=%d"
            .formatted(!superseded && plannedStop.isClean(), unansweredRequests));
  }
}
