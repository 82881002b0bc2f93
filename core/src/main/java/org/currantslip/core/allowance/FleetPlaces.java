package org.currantslip.core.allowance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.membership.NodeRanking;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/**
 * Places by rendezvous hashing over all nodes that are not permanently gone.
 *
 * <p>Nodes that are silent or cut off keep their places, since they may still send. A node that has
 * just started uses its own place only after news of it has reached the nodes that it displaces; it
 * takes that as given once it has seen all known nodes live for a while.
 */
public final class FleetPlaces implements SenderPlaces {
  private static final String GROUP = "endpoint-place";

  /** Shorter than the time after which a silent node may be marked as gone. */
  private static final long MAX_PAUSE_MS = 10_000;

  private final Membership membership;
  private final Clock clock;
  private final long settleMs;
  private final Map<String, List<String>> orderByEndpoint = new HashMap<>();
  private List<NodeRecord> known = List.of();
  private List<String> names = List.of();
  private boolean settled;
  private long undisturbedSinceMs = -1;
  private long changedMs;
  private long lastTickMs;

  private FleetPlaces(Membership membership, Clock clock, long settleMs) {
    this.membership = membership;
    this.clock = clock;
    this.settleMs = settleMs;
    changedMs = clock.nowMs();
    lastTickMs = changedMs;
  }

  /**
   * Creates the places of a node that has none yet.
   *
   * @param settleMs time in which news of a node reaches all nodes that it displaces
   */
  public static FleetPlaces create(Membership membership, Clock clock, long settleMs) {
    return new FleetPlaces(membership, clock, settleMs);
  }

  @Override
  public void tick() {
    checkPause();
    refresh();
    if (settled) {
      return;
    }
    long nowMs = clock.nowMs();
    if (!isUndisturbed()) {
      undisturbedSinceMs = -1;
    } else if (undisturbedSinceMs < 0) {
      undisturbedSinceMs = nowMs;
    } else if (nowMs - undisturbedSinceMs >= settleMs) {
      settled = true;
      changedMs = nowMs;
    }
  }

  /** A node that was paused for long may have been marked as gone, and others have its places. */
  private void checkPause() {
    long nowMs = clock.nowMs();
    if (nowMs - lastTickMs > MAX_PAUSE_MS) {
      settled = false;
      undisturbedSinceMs = -1;
      changedMs = nowMs;
    }
    lastTickMs = nowMs;
  }

  private boolean isUndisturbed() {
    return membership.isFleetKnown()
        && membership.self().getState() == NodeState.SERVING
        && membership.live().size() == known.size();
  }

  private void refresh() {
    List<NodeRecord> current = membership.known();
    if (current == known) {
      return;
    }
    known = current;
    List<String> currentNames = current.stream().map(n -> n.getId().getName()).sorted().toList();
    if (!currentNames.equals(names)) {
      names = currentNames;
      orderByEndpoint.clear();
      changedMs = clock.nowMs();
    }
  }

  private List<String> order(String endpointId) {
    refresh();
    return orderByEndpoint.computeIfAbsent(endpointId, e -> NodeRanking.rank(GROUP, e, names));
  }

  @Override
  public int placeOf(String endpointId) {
    if (clock.nowMs() - lastTickMs > MAX_PAUSE_MS) {
      checkPause();
    }
    int place = settled ? order(endpointId).indexOf(membership.self().getId().getName()) : -1;
    return place < 0 ? NONE : place;
  }

  @Override
  public Optional<String> first(String endpointId) {
    return order(endpointId).stream().findFirst();
  }

  @Override
  public int count() {
    refresh();
    return names.size();
  }

  @Override
  public long changedMs() {
    return changedMs;
  }
}
