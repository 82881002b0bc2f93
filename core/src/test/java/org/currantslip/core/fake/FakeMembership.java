package org.currantslip.core.fake;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.currantslip.core.membership.Membership;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/** One node's view of the membership, controlled by the test. */
public final class FakeMembership implements Membership {
  private final NodeRecord self;
  private final Map<String, NodeRecord> live = new TreeMap<>();
  private final Set<NodeId> gone = new HashSet<>();
  private List<NodeRecord> liveList = List.of();

  private FakeMembership(NodeRecord self) {
    this.self = self;
    live.put(self.getId().getName(), self);
  }

  /** Returns the view of a node that knows only itself. */
  public static FakeMembership of(NodeRecord self) {
    return new FakeMembership(self);
  }

  /** Returns the record of a serving node. */
  public static NodeRecord node(String name, long incarnation, String failureDomain) {
    return NodeRecord.newBuilder()
        .setId(NodeId.newBuilder().setName(name).setIncarnation(incarnation))
        .setFailureDomain(failureDomain)
        .setState(NodeState.SERVING)
        .build();
  }

  /** Marks a node as live; an older incarnation of the node becomes gone. */
  public void add(NodeRecord node) {
    liveList = List.of();
    NodeRecord old = live.put(node.getId().getName(), node);
    if (old != null && old.getId().getIncarnation() < node.getId().getIncarnation()) {
      gone.add(old.getId());
    }
  }

  /** Removes a node from the live list without declaring it gone. */
  public void suspect(String name) {
    liveList = List.of();
    live.remove(name);
  }

  /** Declares an incarnation permanently gone. */
  public void declareGone(NodeId id) {
    gone.add(id);
    NodeRecord current = live.get(id.getName());
    if (current != null && current.getId().equals(id)) {
      liveList = List.of();
      live.remove(id.getName());
    }
  }

  @Override
  public NodeRecord self() {
    return self;
  }

  @Override
  public List<NodeRecord> live() {
    // Like the real list, it is the same one until the membership changes.
    if (liveList.isEmpty()) {
      liveList = List.copyOf(live.values());
    }
    return liveList;
  }

  @Override
  public List<NodeRecord> entryNodes() {
    return live.values().stream().filter(n -> n.getState() == NodeState.SERVING).toList();
  }

  @Override
  public Optional<NodeRecord> find(String name) {
    return Optional.ofNullable(live.get(name));
  }

  @Override
  public boolean isGone(NodeId id) {
    return gone.contains(id);
  }
}
