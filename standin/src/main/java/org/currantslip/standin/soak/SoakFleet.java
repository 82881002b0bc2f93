package org.currantslip.standin.soak;

import java.util.List;
import java.util.Optional;

/** The nodes of a run, and the proxies before its endpoints and its store. */
record SoakFleet(List<NodeProcess> nodes, List<FaultProxy> endpoints, FaultProxy store) {

  /** Returns whether neither a node nor any connection had a fault since a time. */
  boolean isUndisturbedSince(NodeProcess node, long atMs) {
    return isInTouchSince(node, atMs)
        && endpoints.stream().allMatch(p -> p.isUndisturbedSince(atMs));
  }

  /** Returns whether the node and its connection to the store had no fault since a time. */
  boolean isInTouchSince(NodeProcess node, long atMs) {
    return node.isUndisturbedSince(atMs) && store.isUndisturbedSince(atMs);
  }

  /** Returns whether the node was in touch, and the endpoints had no fault, since a time. */
  boolean isSound(NodeProcess node, List<String> endpointNames, long atMs) {
    return isInTouchSince(node, atMs)
        && endpointNames.stream()
            .allMatch(n -> endpoints.get(Integer.parseInt(n)).isUndisturbedSince(atMs));
  }

  /** Returns the node to which a caller sent the request with this id. */
  Optional<NodeProcess> nodeOf(String id) {
    return nodes.stream().filter(n -> id.contains("/" + n.name() + "-")).findFirst();
  }
}
