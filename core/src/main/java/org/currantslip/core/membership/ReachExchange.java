package org.currantslip.core.membership;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.currantslip.schema.Heartbeat;
import org.currantslip.schema.NodeView;
import org.currantslip.schema.ServiceHeard;

/** What the heartbeats of this node and its peers say of their paths to endpoints. */
final class ReachExchange {
  private Supplier<List<ServiceHeard>> own = List::of;
  private Consumer<List<ServiceHeard>> listener = report -> {};
  private boolean unreachable;

  private ReachExchange() {}

  static ReachExchange create() {
    return new ReachExchange();
  }

  void connect(Supplier<List<ServiceHeard>> ownReport, Consumer<List<ServiceHeard>> peerListener) {
    own = ownReport;
    listener = peerListener;
  }

  boolean isUnreachable() {
    return unreachable;
  }

  /** Sets whether this node reaches no endpoint; returns whether that is a change. */
  boolean setUnreachable(boolean next) {
    boolean changed = unreachable != next;
    unreachable = next;
    return changed;
  }

  void addTo(Heartbeat.Builder heartbeat) {
    heartbeat.setEndpointsUnreachable(unreachable).addAllServiceHeard(own.get());
  }

  /** Handles the report of a peer; returns whether others must learn that its path changed. */
  boolean onHeartbeat(Member sender, Heartbeat heartbeat, long nowMs) {
    listener.accept(heartbeat.getServiceHeardList());
    return sender.setUnreachable(heartbeat.getEndpointsUnreachable(), nowMs);
  }

  /** Handles what a peer says of a third node; returns whether others must learn of it. */
  boolean onView(Member member, NodeView view, long nowMs) {
    return member.setUnreachable(
        view.getEndpointsUnreachable(), nowMs - Math.max(0, view.getReachMsAgo()));
  }
}
