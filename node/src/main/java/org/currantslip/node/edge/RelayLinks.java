package org.currantslip.node.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.reach.EndpointReach;
import org.currantslip.core.reach.PathState;
import org.currantslip.core.reach.PeerReports;
import org.currantslip.core.relay.RelayClient;
import org.currantslip.core.relay.RelayCounts;
import org.currantslip.core.relay.RelayOptions;
import org.currantslip.core.relay.RelayServer;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.RequestRelay;
import org.currantslip.core.request.RequestTrace;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.peer.PeerLinks;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;
import org.currantslip.schema.PeerFrame;
import org.jspecify.annotations.Nullable;

/** Connects the detection of a lost path and the relay of requests with the parts of a node. */
final class RelayLinks {
  /** Other nodes than the heartbeat targets that are asked, as those may be cut off, too. */
  private static final int ASKED_OTHERS = 3;

  /** A third of the time for which other nodes keep a statement. */
  private static final long STATEMENT_INTERVAL_MS = 5_000;

  private final Clock clock;
  private final HeartbeatMembership membership;
  private final PeerLinks peers;
  private final ExpectedWaitChooser chooser;
  private final PromptQuarantine quarantine;
  private final RelayOptions options;
  private final RelayCounts counts;
  private final SplittableRandom random;
  private final EndpointReach reach;
  private final RelayClient client;
  private @Nullable RelayServer server;
  private Runnable cutListener = () -> {};
  private long nextStatementMs = Long.MAX_VALUE;

  private RelayLinks(
      Clock clock,
      HeartbeatMembership membership,
      PeerLinks peers,
      ExpectedWaitChooser chooser,
      PromptQuarantine quarantine,
      RelayOptions options,
      RelayCounts counts) {
    this.clock = clock;
    this.membership = membership;
    this.peers = peers;
    this.chooser = chooser;
    this.quarantine = quarantine;
    this.options = options;
    this.counts = counts;
    random = new SplittableRandom(membership.self().getId().getIncarnation());
    PeerReports reports = PeerReports.create(clock, this::askPeers);
    reach = EndpointReach.create(clock, reports, this::onPathChange);
    client =
        RelayClient.create(
            clock, peers, membership.self(), options, counts, membership::reachingPeers);
    membership.setReachReports(reach::report, reports::onReport);
    quarantine.setDoubt(reach::isDoubtful);
  }

  static RelayLinks create(
      Clock clock,
      HeartbeatMembership membership,
      PeerLinks peers,
      ExpectedWaitChooser chooser,
      PromptQuarantine quarantine,
      RelayOptions options,
      RelayCounts counts) {
    return new RelayLinks(clock, membership, peers, chooser, quarantine, options, counts);
  }

  /** Serves requests of peers with this engine from now on. */
  void serve(RequestEngine engine, LongSupplier lagMs, RequestTrace trace) {
    server =
        RelayServer.create(
            clock,
            peers,
            options,
            counts,
            engine,
            new RelayServer.Host(
                reach, () -> membership.self().getState() == NodeState.SERVING, lagMs),
            trace);
  }

  /** Sets what runs once this node reaches no endpoint, so that waiting requests go to peers. */
  void setCutListener(Runnable listener) {
    cutListener = listener;
  }

  /** Returns the number of requests of peers whose responses have not all been sent. */
  int openPeerRequests() {
    return server == null ? 0 : server.openCount();
  }

  EndpointReach reach() {
    return reach;
  }

  RequestRelay relay() {
    return client;
  }

  void onEndpoints(List<EndpointRecord> endpoints) {
    reach.onEndpoints(endpoints);
  }

  private void askPeers() {
    Set<String> asked = new HashSet<>(membership.heartbeatTargets());
    List<NodeRecord> others = membership.reachingPeers();
    for (int i = 0; i < ASKED_OTHERS && !others.isEmpty(); i++) {
      asked.add(others.get(random.nextInt(others.size())).getId().getName());
    }
    membership.exchangeWith(asked);
  }

  private void onPathChange(PathState from, PathState to, long sinceMs) {
    if (to == PathState.CUT) {
      chooser.forgiveFailures(sinceMs);
      quarantine.forgetBroken();
      EventLog.write(
          LogEvent.PATH_LOST,
          "since_ms=%d peers=%d"
              .formatted(clock.nowMs() - sinceMs, membership.reachingPeers().size()));
    } else if (to == PathState.RETURNING) {
      EventLog.write(LogEvent.PATH_RETURNING, "");
    } else if (from == PathState.RETURNING) {
      EventLog.write(LogEvent.PATH_RESTORED, "relayed=" + counts.sent());
    }
    if (from.isUnreachable() != to.isUnreachable()) {
      state();
    }
    if (to == PathState.CUT) {
      cutListener.run();
    }
  }

  private void state() {
    boolean unreachable = reach.state().isUnreachable();
    membership.setEndpointsUnreachable(unreachable);
    nextStatementMs = unreachable ? clock.nowMs() + STATEMENT_INTERVAL_MS : Long.MAX_VALUE;
  }

  void tick() {
    reach.tick();
    client.tick();
    if (server != null) {
      server.tick();
    }
    if (clock.nowMs() >= nextStatementMs) {
      state();
    }
  }

  void onLinkLost(String node) {
    client.onLinkLost(node);
    if (server != null) {
      server.onLinkLost(node);
    }
  }

  /** Handles a frame of a relay. */
  void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply) {
    RelayServer current = server;
    switch (frame.getBodyCase()) {
      case RELAY_HEAD, RELAY_DATA, RELAY_END -> client.onFrame(fromNode, frame);
      case RELAY_REQUEST -> {
        if (current != null) {
          current.onRequest(fromNode, frame.getRelayRequest(), reply);
        }
      }
      case RELAY_CREDIT -> {
        if (current != null) {
          current.onCredit(fromNode, frame.getRelayCredit());
        }
      }
      case RELAY_CANCEL -> {
        if (current != null) {
          current.onCancel(fromNode, frame.getRelayCancel());
        }
      }
      default -> throw new IllegalArgumentException("not a frame of a relay");
    }
  }
}
