package org.currantslip.core.membership;

import java.util.List;
import java.util.Optional;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;

/** What this node knows of the other nodes. */
public interface Membership {
  /** Returns this node. */
  NodeRecord self();

  /** Returns the nodes believed alive, this one among them, in order of their names. */
  List<NodeRecord> live();

  /** Returns the nodes that callers may be sent to: alive and not leaving. */
  List<NodeRecord> entries();

  /** Returns the live node with this name. */
  Optional<NodeRecord> find(String name);

  /** Returns whether this incarnation is known to be gone for good. */
  boolean isGone(NodeId id);
}
