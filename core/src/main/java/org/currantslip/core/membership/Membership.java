package org.currantslip.core.membership;

import java.util.List;
import java.util.Optional;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;

/** This node's view of the cluster membership. */
public interface Membership {
  /** Returns the record of this node. */
  NodeRecord self();

  /** Returns the nodes considered live, including this one, sorted by name. */
  List<NodeRecord> live();

  /** Returns the nodes that callers may be directed to: live and serving. */
  List<NodeRecord> entryNodes();

  /**
   * Returns the nodes that are not permanently gone, including this one, whether they are live or
   * not. The list is the same object until it changes.
   */
  default List<NodeRecord> known() {
    return live();
  }

  /** Returns whether this node has joined and has read the join records of all others. */
  default boolean isFleetKnown() {
    return true;
  }

  /**
   * Returns the live and serving nodes, also those that callers are not sent to since they reach no
   * endpoint.
   */
  default List<NodeRecord> servingNodes() {
    return entryNodes();
  }

  /** Returns the live node with this name, if there is one. */
  Optional<NodeRecord> find(String name);

  /** Returns whether this incarnation is known to be permanently gone. */
  boolean isGone(NodeId id);
}
