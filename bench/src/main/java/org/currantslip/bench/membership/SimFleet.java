package org.currantslip.bench.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.membership.MembershipOptions;
import org.currantslip.core.port.PeerException;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;
import org.currantslip.schema.PeerFrame;

/**
 * Runs the memberships of a fleet in one thread on a simulated clock, and counts the frames and
 * bytes that they send.
 */
final class SimFleet {
  private static final long LINK_LATENCY_MS = 1;
  private static final long TICK_MS = 10;
  private static final long HEARTBEAT_MS = 500;
  private static final long SILENCE_TIMEOUT_MS = 2_500;
  private static final int FRAME_LENGTH_BYTES = 4;

  private final SimScheduler scheduler = new SimScheduler();
  private final SimStore store = new SimStore(scheduler);
  private final Map<String, HeartbeatMembership> nodes = new HashMap<>();
  private final List<HeartbeatMembership> running = new ArrayList<>();
  private final Random random;
  private final int domains;
  private double frameLossRate;
  private long framesSent;
  private long bytesSent;

  SimFleet(int domains, long seed) {
    this.domains = domains;
    random = new Random(seed);
  }

  private final class SimNetwork implements PeerNetwork {
    private final String self;

    private SimNetwork(String self) {
      this.self = self;
    }

    @Override
    public void send(String node, PeerFrame frame) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PeerFrame> request(String node, PeerFrame request, long timeoutMs) {
      CompletableFuture<PeerFrame> response = new CompletableFuture<>();
      scheduler.after(
          timeoutMs, () -> response.completeExceptionally(PeerException.of("timed out")));
      transmit(node, request, () -> reply(node, request, response));
      return response;
    }

    private void reply(String node, PeerFrame request, CompletableFuture<PeerFrame> response) {
      HeartbeatMembership sender = nodes.get(self);
      HeartbeatMembership target = nodes.get(node);
      if (sender == null || target == null) {
        return;
      }
      target.onRecord(sender.self());
      PeerFrame responseFrame =
          PeerFrame.newBuilder().setHeartbeat(target.onHeartbeat(request.getHeartbeat())).build();
      transmit(self, responseFrame, () -> response.complete(responseFrame));
    }
  }

  /** Counts a frame and, unless it is lost, runs the action once the receiver has the frame. */
  private void transmit(String to, PeerFrame frame, Runnable action) {
    framesSent++;
    bytesSent += frame.getSerializedSize() + FRAME_LENGTH_BYTES;
    if (random.nextDouble() >= frameLossRate) {
      scheduler.after(
          LINK_LATENCY_MS,
          () -> {
            if (nodes.containsKey(to)) {
              action.run();
            }
          });
    }
  }

  static String nodeName(int index) {
    return String.format(Locale.ROOT, "entry-%03d", index);
  }

  void start(int index) {
    String name = nodeName(index);
    NodeRecord self =
        NodeRecord.newBuilder()
            .setId(NodeId.newBuilder().setName(name).setIncarnation(scheduler.clock().nowMs()))
            .setRegion("region-" + index % domains % 6)
            .setFailureDomain("region-" + index % domains % 6 + "-" + index % domains)
            .setCallerAddress("10.10.10.10:8080")
            .setPeerAddress("10.10.10.10:8081")
            .setAdminAddress("10.10.10.10:8082")
            .setState(NodeState.JOINING)
            .setJoinedMs(scheduler.clock().nowMs())
            .build();
    HeartbeatMembership node =
        HeartbeatMembership.create(
            self,
            store,
            new SimNetwork(name),
            scheduler.clock(),
            MembershipOptions.of(HEARTBEAT_MS, SILENCE_TIMEOUT_MS));
    node.serve();
    nodes.put(name, node);
    running.add(node);
  }

  void kill(int index) {
    running.remove(nodes.remove(nodeName(index)));
  }

  HeartbeatMembership nodeAt(int index) {
    HeartbeatMembership node = nodes.get(nodeName(index));
    if (node == null) {
      throw new IllegalArgumentException("no running node with index " + index);
    }
    return node;
  }

  void setFrameLossRate(double rate) {
    frameLossRate = rate;
  }

  void run(long durationMs) {
    for (long i = 0; i < durationMs; i += TICK_MS) {
      running.forEach(HeartbeatMembership::tick);
      scheduler.advance(TICK_MS);
    }
  }

  /**
   * Runs until all nodes meet a condition; returns the simulated time taken, or -1 past the limit.
   */
  long runUntil(Predicate<HeartbeatMembership> condition, long limitMs) {
    for (long ms = 0; ms <= limitMs; ms += TICK_MS) {
      if (running.stream().allMatch(condition)) {
        return ms;
      }
      run(TICK_MS);
    }
    return -1;
  }

  List<HeartbeatMembership> running() {
    return running;
  }

  SimStore store() {
    return store;
  }

  long framesSent() {
    return framesSent;
  }

  long bytesSent() {
    return bytesSent;
  }
}
