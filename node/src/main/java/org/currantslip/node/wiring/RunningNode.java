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
import org.currantslip.node.admin.AdminHandler;
import org.currantslip.node.admin.AdminParts;
import org.currantslip.node.admin.NodeAdminOperations;
import org.currantslip.node.admin.OperatorTokens;
import org.currantslip.node.caller.AccountTokens;
import org.currantslip.node.caller.CallerOptions;
import org.currantslip.node.caller.EntryView;
import org.currantslip.node.caller.FrontDoor;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.metrics.MetricsHandler;
import org.currantslip.node.metrics.NodeMetrics;
import org.currantslip.node.peer.PeerLinks;
import org.currantslip.node.peer.PeerOptions;
import org.currantslip.node.peer.PeerTls;
import org.currantslip.node.poll.UsedEndpoints;
import org.currantslip.schema.ConfigAnnounce;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.NodeState;
import org.eclipse.jetty.server.Server;

/** One running node: its threads, ports and parts. */
public final class RunningNode {
  private static final long INCARNATION_WAIT_MS = 3_000;
  private static final long FLUSH_MS = 10_000;
  private static final long MARK_MS = 3_000;

  private final Clock clock = SteadyClock.create();
  private final NodeMetrics metrics = NodeMetrics.create();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final DecisionThread decisions;
  private final PlatformPorts platform;
  private final PeerLinks links;
  private final HeartbeatMembership membership;
  private final CoreParts core;
  private final NodePolls polls;
  private final NodePublisher publisher;
  private final PlannedStop stop;
  private final FrontDoor door;
  private final Server admin;
  private volatile boolean evicted;
  private boolean closed;

  private RunningNode(NodeSettings settings, PeerTls tls) throws InterruptedException {
    decisions = DecisionThread.create(clock);
    platform = PlatformPorts.open(settings, decisions);
    decisions.start();
    NodeRecord self =
        SelfRecord.of(
            settings,
            StartNumbers.incarnation(
                settings.getName(), platform.store(), decisions, clock, INCARNATION_WAIT_MS),
            clock);
    AtomicReference<HeartbeatMembership> known = new AtomicReference<>();
    links =
        PeerLinks.create(
            self,
            PeerOptions.from(settings),
            tls,
            clock,
            decisions,
            name -> Optional.ofNullable(known.get()).flatMap(m -> m.lastKnown(name)));
    membership =
        HeartbeatMembership.create(
            self,
            platform.store(),
            links,
            clock,
            MembershipOptions.of(
                settings.getTimeouts().getHeartbeatMs(), settings.getTimeouts().getPeerSilentMs()));
    known.set(membership);
    UsedEndpoints calls = UsedEndpoints.create(platform.calls(), clock);
    core =
        CoreParts.create(
            settings, membership, platform.store(), links, calls, clock, this::onOutcome);
    polls = NodePolls.create(core, platform, links, calls, core.answers(), clock);
    membership.setConfigStatus(this::configStatus);
    RequestIds ids = RequestIds.create(self.getId());
    door =
        FrontDoor.create(
            CallerOptions.from(settings),
            AccountTokens.of(settings.getAccountList()),
            clock,
            decisions,
            (request, sink) -> {
              RequestHandle handle = core.engine().start(request, sink);
              return handle::callerGone;
            },
            () -> nextId(ids),
            this::entryView);
    stop =
        PlannedStop.create(membership, clock, this::underWay, core::flush, stopOptions(settings));
    publisher =
        NodePublisher.create(core, links, stop, metrics, door::inFlight, decisions::waiting, clock);
    admin =
        AdminServer.create(
            settings.getAdmin(),
            MetricsHandler.create(metrics),
            AdminHandler.create(
                NodeAdminOperations.create(adminParts(), decisions),
                OperatorTokens.of(settings.getOperatorList())));
  }

  /** Starts a node: its ports are open when this returns. */
  public static RunningNode start(NodeSettings settings, PeerTls tls) throws Exception {
    RunningNode node = new RunningNode(settings, tls);
    try {
      node.links.listen(FrameRouter.create(node.core, node.polls));
      node.admin.start();
      node.door.start();
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
    node.decisions.execute(node::begin);
    return node;
  }

  private static String nextId(RequestIds ids) {
    synchronized (ids) {
      return ids.next();
    }
  }

  private static PlannedStop.Options stopOptions(NodeSettings settings) {
    var times = settings.getTimeouts();
    long entryMs = (long) times.getEntryTtlMs() + times.getPeerSilentMs();
    return new PlannedStop.Options(entryMs, times.getDrainMs(), FLUSH_MS, MARK_MS);
  }

  private ConfigAnnounce configStatus() {
    return ConfigAnnounce.newBuilder()
        .setVersion(core.config().current().version())
        .setAgeMs(core.config().ageMs())
        .build();
  }

  private AdminParts adminParts() {
    return new AdminParts(
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
    stop.begin();
    return CompletableFuture.completedFuture(stop.phase().name());
  }

  private int underWay() {
    return door.inFlight() + core.engine().activeCount();
  }

  private void begin() {
    core.config().start();
    decisions.onTick(this::tick);
  }

  private void tick() {
    core.tick();
    links.tick();
    polls.tick();
    stop.tick();
    if (membership.self().getState() == NodeState.JOINING && core.config().isFresh()) {
      membership.serve();
      EventLog.write(LogEvent.NODE_SERVING, "");
    }
    publisher.tick();
    membership.supersededBy().ifPresent(this::evict);
    if (evicted || stop.phase() == PlannedStop.Phase.DONE) {
      stopped.countDown();
    }
  }

  private void evict(NodeRecord other) {
    if (!evicted) {
      evicted = true;
      EventLog.write(
          LogEvent.NODE_SUPERSEDED,
          "incarnation=" + other.getId().getIncarnation() + " state=" + other.getState());
    }
  }

  /** Begins a planned stop. */
  public void beginStop() {
    decisions.execute(stop::begin);
  }

  /** Waits until the node has stopped, and closes it; returns whether nothing was cut short. */
  public boolean awaitStop() throws Exception {
    stopped.await();
    close();
    return isClean();
  }

  private boolean isClean() {
    return !evicted && stop.isClean();
  }

  private synchronized void close() throws Exception {
    if (closed) {
      return;
    }
    closed = true;
    door.stop();
    admin.stop();
    links.close();
    platform.close();
    decisions.stop();
    metrics.close();
    EventLog.write(LogEvent.NODE_STOPPED, "clean=" + isClean());
  }
}
