package org.currantslip.node.edge;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.membership.PlannedStop;
import org.currantslip.core.mirror.KindMirror;
import org.currantslip.core.mirror.MirrorGossip;
import org.currantslip.core.mirror.MirrorRelay;
import org.currantslip.core.mirror.RelayedFeed;
import org.currantslip.core.mirror.StoreWatchers;
import org.currantslip.core.request.ForwardPorts;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.RequestHandle;
import org.currantslip.core.request.RequestIds;
import org.currantslip.core.rollout.ServiceRolloutController;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.routing.EndpointRegistry;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.node.caller.EntryView;
import org.currantslip.node.caller.FrontDoor;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.metrics.MetricsHandler;
import org.currantslip.node.metrics.NodeGauges;
import org.currantslip.node.metrics.NodeMetrics;
import org.currantslip.node.peer.PeerDispatcher;
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

/** One running edge node: its threads, ports and parts. */
public final class EdgeNode {
  private static final int CLIENT_THREADS = 8;

  /** Several round trips even between regions; an endpoint that needs longer is down. */
  private static final long CONNECT_MS = 400;

  private static final long STORE_TIMEOUT_MS = 1_000;

  /** A start during an outage of the store goes on with the clock's number. */
  private static final long INCARNATION_WAIT_MS = 800;

  private static final long PUBLISH_MS = 50;
  private static final long REPORT_MS = 300;

  /** An entry lapses after three reports; an outage shorter than two ends none. */
  private static final int LAPSE_REPORTS = 2;

  private final Clock clock = MonotonicClock.create();
  private final NodeMetrics metrics = NodeMetrics.create();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final EdgeSettings settings;
  private final DecisionThread decisions;
  private final HttpClient storeClient;
  private final HttpClient endpointClient;
  private final PeerLinks links;
  private final HeartbeatMembership membership;
  private final StoreMirrors mirrors;
  private final MirrorGossip gossip;
  private final StoreWatchers watchers;
  private final MirrorRelay relay;
  private final EndpointRegistry registry;
  private final ExpectedWaitChooser chooser;
  private final ServiceRollouts rollouts;
  private final ServiceRolloutController rolloutController;
  private final SlotQueue queue;
  private final RequestEngine engine;
  private final PlannedStop stop;
  private final FrontDoor door;
  private final Server side;
  private volatile EntryView view = EntryView.empty();
  private volatile boolean ready;
  private volatile boolean evicted;
  private long nextPublishMs;
  private long nextReportMs;
  private int endpointCount;
  private long idleTimeoutMs;
  private boolean closed;

  private EdgeNode(EdgeSettings settings) throws InterruptedException {
    this.settings = settings;
    decisions = DecisionThread.create(clock);
    storeClient = HttpClients.startWithoutTls("store", CLIENT_THREADS, CONNECT_MS);
    endpointClient = HttpClients.startWithoutTls("endpoint", CLIENT_THREADS, CONNECT_MS);
    decisions.start();
    ObjectsClient store =
        ObjectsClient.open(
            storeClient,
            "http://" + settings.getStore().getAddress(),
            decisions,
            STORE_TIMEOUT_MS,
            settings.getStore().getValueBytes());
    NodeRecord self =
        selfRecord(
            IncarnationAllocator.allocate(
                settings.getName(), store, decisions, clock, INCARNATION_WAIT_MS));
    final long seed = self.getId().getIncarnation();
    AtomicReference<HeartbeatMembership> known = new AtomicReference<>();
    links =
        PeerLinks.create(
            self,
            EdgeOptions.peer(settings),
            PeerTls.none(),
            clock,
            decisions,
            name -> Optional.ofNullable(known.get()).flatMap(m -> m.lastKnown(name)));
    membership = HeartbeatMembership.create(self, store, links, clock, EdgeOptions.membership());
    known.set(membership);
    watchers = StoreWatchers.create(membership, clock);
    mirrors = StoreMirrors.create(RelayedFeed.create(store, links, watchers), clock, seed);
    relay = MirrorRelay.create(mirrors.all(), watchers::isWatcher, clock);
    gossip =
        MirrorGossip.create(
            mirrors.all(),
            links,
            clock,
            (node, failure) ->
                EventLog.write(LogEvent.COPY_MISSED, "node=%s reason=%s".formatted(node, failure)));
    membership.setMirrorRevisions(gossip::revisions, gossip::onRevisions);
    chooser = ExpectedWaitChooser.create(clock, settings.getFailureDomain(), seed);
    rollouts = ServiceRollouts.create(self.getId(), this::onHalt);
    registry =
        EndpointRegistry.create(
            clock,
            (long) LAPSE_REPORTS * settings.getStore().getEndpointReportMs(),
            this::onEndpoints);
    mirrors.feed(registry);
    mirrors.onOrders(rollouts::onOrders);
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
    queue = SlotQueue.create(clock, chooser::freeSlots, seed);
    engine =
        RequestEngine.forwarding(
            new ForwardPorts(
                clock,
                mirrors.routes(),
                queue,
                chooser,
                RetryBudget.create(
                    clock, EdgeOptions.retries(settings), () -> membership.live().size()),
                rollouts,
                SizeCascade.create(),
                RunnerCalls.create(endpointClient, decisions),
                metrics::record,
                BoundedTrace.create(clock)));
    RequestIds ids = RequestIds.create(self.getId());
    door =
        FrontDoor.forwarding(
            EdgeOptions.caller(settings),
            WireCallerProtocol.create(),
            clock,
            decisions,
            (request, sink) -> {
              RequestHandle handle = engine.start(request, sink);
              return handle::onCallerDisconnected;
            },
            () -> nextId(ids),
            () -> view);
    stop =
        PlannedStop.create(
            membership,
            clock,
            () -> door.inFlight() + engine.activeCount(),
            () -> CompletableFuture.completedFuture(null),
            EdgeOptions.stop(settings));
    side =
        SideDoor.create(
            settings, () -> ready, this::callerAddresses, MetricsHandler.create(metrics));
  }

  /** Starts a node: its ports are open when this returns. */
  public static EdgeNode start(EdgeSettings settings) throws Exception {
    EdgeNode node = new EdgeNode(settings);
    try {
      node.links.listen(node.new Frames());
      node.door.start();
      node.side.start();
    } catch (Exception e) {
      node.close();
      throw e;
    }
    EventLog.write(
        LogEvent.NODE_STARTED,
        "node=%s incarnation=%d"
            .formatted(settings.getName(), node.membership.self().getId().getIncarnation()));
    node.decisions.execute(() -> node.decisions.onTick(node::tick));
    return node;
  }

  private static String nextId(RequestIds ids) {
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
    chooser.onEndpoints(endpoints);
    rollouts.onEndpoints(endpoints);
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
    PeerFrame frame = PeerFrame.newBuilder().setVersionHalt(halt).build();
    membership.live().stream()
        .map(n -> n.getId().getName())
        .filter(n -> !n.equals(settings.getName()))
        .forEach(n -> links.send(n, frame));
  }

  private List<String> callerAddresses() {
    return view.entries().stream().map(NodeRecord::getCallerAddress).toList();
  }

  private void tick() {
    final long nowMs = clock.nowMs();
    membership.tick();
    watchers.pollWatcherChange().ifPresent(this::follow);
    mirrors.tick();
    relay.tick();
    registry.tick();
    queue.tick();
    engine.tick();
    rolloutController.tick();
    links.tick();
    stop.tick();
    if (membership.self().getState() == NodeState.JOINING
        && mirrors.routes().current().version() > 0) {
      membership.serve();
      EventLog.write(LogEvent.NODE_SERVING, "");
    }
    if (nowMs >= nextReportMs) {
      nextReportMs = nowMs + REPORT_MS;
      report();
    }
    if (nowMs >= nextPublishMs) {
      nextPublishMs = nowMs + PUBLISH_MS;
      publish();
    }
    membership
        .supersededBy()
        .ifPresent(
            other -> {
              evicted = true;
              EventLog.write(
                  LogEvent.NODE_SUPERSEDED, "incarnation=" + other.getId().getIncarnation());
            });
    if (evicted || stop.phase() == PlannedStop.Phase.DONE) {
      stopped.countDown();
    }
  }

  private void follow(Optional<String> watcher) {
    EventLog.write(LogEvent.WATCHER_CHANGED, "watcher=" + watcher.orElse("store"));
    mirrors.all().forEach(KindMirror::restartList);
  }

  /** Sends the evidence on versions to the nodes that act on it. */
  private void report() {
    rollouts
        .report()
        .ifPresent(
            r -> {
              PeerFrame frame = PeerFrame.newBuilder().setOutcomes(r).build();
              rollouts.orders().stream()
                  .flatMap(o -> rolloutController.candidates(o.service()).stream())
                  .distinct()
                  .filter(n -> !n.equals(settings.getName()))
                  .forEach(n -> links.send(n, frame));
            });
  }

  private void publish() {
    boolean running = stop.phase() == PlannedStop.Phase.RUNNING;
    var table = mirrors.routes().current();
    ready = running && table.version() > 0;
    view =
        new EntryView(membership.entryNodes(), table.version(), stop.acceptsRequests(), !running);
    if (table.limits().idleTimeoutMs() != idleTimeoutMs) {
      idleTimeoutMs = table.limits().idleTimeoutMs();
      door.setIdleTimeout(idleTimeoutMs);
    }
    metrics.publish(
        new NodeGauges(
            door.inFlight(),
            decisions.waiting(),
            membership.live().size(),
            membership.entryNodes().size(),
            links.openLinkCount(),
            links.framesReceived(),
            endpointCount,
            table.version(),
            0));
  }

  /** Begins a planned stop. */
  public void beginStop() {
    decisions.execute(stop::begin);
  }

  /** Waits until the node has stopped, and closes it; returns whether nothing was cut short. */
  public boolean awaitStop() throws Exception {
    stopped.await();
    close();
    return !evicted && stop.isClean();
  }

  private synchronized void close() throws Exception {
    if (closed) {
      return;
    }
    closed = true;
    door.stop();
    side.stop();
    links.close();
    HttpClients.stop(endpointClient);
    HttpClients.stop(storeClient);
    decisions.stop();
    metrics.close();
    EventLog.write(LogEvent.NODE_STOPPED, "clean=" + (!evicted && stop.isClean()));
  }

  /** Gives each frame of a peer to the part it is for. */
  private final class Frames implements PeerDispatcher {
    @Override
    public void onLink(NodeRecord peer) {
      membership.onRecord(peer);
    }

    /** What silenced a link may have silenced the watches of the store as well. */
    @Override
    public void onLinkLost(NodeRecord peer) {
      mirrors.all().forEach(KindMirror::restartList);
    }

    @Override
    public void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply) {
      PeerFrame.Builder answer = PeerFrame.newBuilder();
      switch (frame.getBodyCase()) {
        case HEARTBEAT ->
            reply.accept(answer.setHeartbeat(membership.onHeartbeat(frame.getHeartbeat())).build());
        case MIRROR_REQUEST ->
            gossip
                .answer(frame.getMirrorRequest())
                .ifPresent(s -> reply.accept(answer.setMirrorSnapshot(s).build()));
        case MIRROR_WATCH ->
            relay.onWatch(
                frame.getMirrorWatch(),
                changes -> reply.accept(answer.setMirrorChanges(changes).build()));
        case OUTCOMES -> rollouts.onReport(frame.getOutcomes());
        case VERSION_HALT -> rollouts.onHalt(frame.getVersionHalt());
        default -> {
          // Replies reach their askers before they come here; newer kinds of frames are ignored.
        }
      }
    }
  }
}
