package org.currantslip.bench.ledger;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.currantslip.core.membership.Membership;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/** A fleet whose nodes all live and know each other. */
final class FixedMembership implements Membership {

  private final NodeRecord self;
  private final List<NodeRecord> all;
  private final Map<String, NodeRecord> byName;

  private FixedMembership(NodeRecord self, List<NodeRecord> all, Map<String, NodeRecord> byName) {
    this.self = self;
    this.all = all;
    this.byName = byName;
  }

  /** Returns the views of all nodes of a fleet. */
  static List<FixedMembership> fleet(int size, int failureDomains) {
    List<NodeRecord> all = IntStream.range(0, size).mapToObj(i -> node(i, failureDomains)).toList();
    Map<String, NodeRecord> byName =
        all.stream().collect(Collectors.toMap(n -> n.getId().getName(), Function.identity()));
    return all.stream().map(n -> new FixedMembership(n, all, byName)).toList();
  }

  private static NodeRecord node(int i, int failureDomains) {
    return NodeRecord.newBuilder()
        .setId(NodeId.newBuilder().setName("n" + i).setIncarnation(1))
        .setFailureDomain("fd-" + i % failureDomains)
        .setState(NodeState.SERVING)
        .build();
  }

  @Override
  public NodeRecord self() {
    return self;
  }

  @Override
  public List<NodeRecord> live() {
    return all;
  }

  @Override
  public List<NodeRecord> entryNodes() {
    return all;
  }

  @Override
  public Optional<NodeRecord> find(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  @Override
  public boolean isGone(NodeId id) {
    return false;
  }
}
