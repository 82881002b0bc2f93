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

/** Many memberships in one thread on a driven clock, with counted frames. */
final class SimFleet {
  private static final long ONE_WAY_MS = 1;
  private static final long TICK_MS = 10;
  private static final long HEARTBEAT_MS = 500;
  private static final long SILENT_MS = 2_500;
  private static final int LENGTH_BYTES = 4;

  private final SimEvents events = new SimEvents();
  private final SimStore store = new SimStore(events);
  private final Map<String, HeartbeatMembership> nodes = new HashMap<>();
  private final List<HeartbeatMembership> running = new ArrayList<>();
  private final Random random;
  private final int domains;
  private double lossShare;
  private long frames;
  private long bytes;

  SimFleet(int domains, long seed) {
    this.domains = domains;
    random = new Random(seed);
  }

  private final class Link implements PeerNetwork {
    private final String self;

    private Link(String self) {
      this.self = self;
    }

    @Override
    public void send(String node, PeerFrame frame) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PeerFrame> request(String node, PeerFrame request, long timeoutMs) {
      CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
      events.after(timeoutMs, () -> answer.completeExceptionally(PeerException.of("late")));
      carry(node, request, () -> reply(node, request, answer));
      return answer;
    }

    private void reply(String node, PeerFrame request, CompletableFuture<PeerFrame> answer) {
      HeartbeatMembership asker = nodes.get(self);
      HeartbeatMembership target = nodes.get(node);
      if (asker == null || target == null) {
        return;
      }
      target.onRecord(asker.self());
      PeerFrame back =
          PeerFrame.newBuilder().setHeartbeat(target.onHeartbeat(request.getHeartbeat())).build();
      carry(self, back, () -> answer.complete(back));
    }
  }

  private void carry(String to, PeerFrame frame, Runnable action) {
    frames++;
    bytes += frame.getSerializedSize() + LENGTH_BYTES;
    if (random.nextDouble() >= lossShare) {
      events.after(
          ONE_WAY_MS,
          () -> {
            if (nodes.containsKey(to)) {
              action.run();
            }
          });
    }
  }

  static String nameOf(int index) {
    return String.format(Locale.ROOT, "entry-%03d", index);
  }

  void start(int index) {
    String name = nameOf(index);
    NodeRecord self =
        NodeRecord.newBuilder()
            .setId(NodeId.newBuilder().setName(name).setIncarnation(events.clock().nowMs()))
            .setRegion("region-" + index % domains % 6)
            .setFailureDomain("region-" + index % domains % 6 + "-" + index % domains)
            .setCallerAddress("10.10.10.10:8080")
            .setPeerAddress("10.10.10.10:8081")
            .setAdminAddress("10.10.10.10:8082")
            .setState(NodeState.JOINING)
            .setJoinedMs(events.clock().nowMs())
            .build();
    HeartbeatMembership node =
        HeartbeatMembership.create(
            self,
            store,
            new Link(name),
            events.clock(),
            MembershipOptions.of(HEARTBEAT_MS, SILENT_MS));
    node.serve();
    nodes.put(name, node);
    running.add(node);
  }

  void kill(int index) {
    running.remove(nodes.remove(nameOf(index)));
  }

  HeartbeatMembership at(int index) {
    HeartbeatMembership node = nodes.get(nameOf(index));
    if (node == null) {
      throw new IllegalArgumentException("no node " + index);
    }
    return node;
  }

  void setLossShare(double share) {
    lossShare = share;
  }

  void run(long forMs) {
    for (long i = 0; i < forMs; i += TICK_MS) {
      running.forEach(HeartbeatMembership::tick);
      events.advance(TICK_MS);
    }
  }

  /** Runs until all nodes fulfil a condition; returns the time it took, or -1 past the limit. */
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

  long frames() {
    return frames;
  }

  long bytes() {
    return bytes;
  }
}
