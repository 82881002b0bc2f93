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

/** Static membership in which all nodes of a fleet are live and known to each other. */
final class FixedMembership implements Membership {

  private final NodeRecord self;
  private final List<NodeRecord> records;
  private final Map<String, NodeRecord> byName;

  private FixedMembership(
      NodeRecord self, List<NodeRecord> records, Map<String, NodeRecord> byName) {
    this.self = self;
    this.records = records;
    this.byName = byName;
  }

  /** Returns the membership views of all nodes of a fleet, one per node. */
  static List<FixedMembership> createFleet(int nodes, int failureDomains) {
    List<NodeRecord> records =
        IntStream.range(0, nodes).mapToObj(index -> createRecord(index, failureDomains)).toList();
    Map<String, NodeRecord> byName =
        records.stream()
            .collect(
                Collectors.toMap(nodeRecord -> nodeRecord.getId().getName(), Function.identity()));
    return records.stream()
        .map(nodeRecord -> new FixedMembership(nodeRecord, records, byName))
        .toList();
  }

  private static NodeRecord createRecord(int index, int failureDomains) {
    return NodeRecord.newBuilder()
        .setId(NodeId.newBuilder().setName("n" + index).setIncarnation(1))
        .setFailureDomain("fd-" + index % failureDomains)
        .setState(NodeState.SERVING)
        .build();
  }

  @Override
  public NodeRecord self() {
    return self;
  }

  @Override
  public List<NodeRecord> live() {
    return records;
  }

  @Override
  public List<NodeRecord> entryNodes() {
    return records;
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
