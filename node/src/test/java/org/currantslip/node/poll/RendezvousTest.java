package org.currantslip.node.poll;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.junit.jupiter.api.Test;

final class RendezvousTest {
  private static final int KEYS = 500;

  private static List<NodeRecord> nodes(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> NodeRecord.newBuilder().setId(NodeId.newBuilder().setName("n" + i)).build())
        .toList();
  }

  private static List<String> assigned(String key, List<NodeRecord> nodes, int count) {
    return nodes.stream()
        .map(n -> n.getId().getName())
        .filter(name -> Rendezvous.isAssigned(name, key, nodes, count))
        .toList();
  }

  @Test
  void assignsRequestedNumberOfNodesPerKey() {
    for (int k = 0; k < KEYS; k++) {
      assertThat(assigned("key" + k, nodes(24), 3)).hasSize(3);
      assertThat(assigned("key" + k, nodes(2), 3)).hasSize(2);
    }
  }

  @Test
  void movesOnlyKeysOfRemovedNode() {
    List<NodeRecord> before = nodes(24);
    List<NodeRecord> after = before.subList(0, 23);
    for (int k = 0; k < KEYS; k++) {
      List<String> previous = assigned("key" + k, before, 1);
      if (!previous.contains("n23")) {
        assertThat(assigned("key" + k, after, 1)).isEqualTo(previous);
      }
    }
  }
}
