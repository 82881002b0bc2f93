package org.currantslip.node.caller;

import java.util.List;
import org.currantslip.schema.NodeRecord;

/**
 * Immutable snapshot of the node's state for the caller server, published by the decision thread.
 *
 * @param entries nodes to which callers may connect
 * @param configVersion version of the configuration in force
 * @param accepting whether new requests are accepted
 * @param leaving whether callers are told to close their connections to this node
 */
public record EntryView(
    List<NodeRecord> entries, long configVersion, boolean accepting, boolean leaving) {
  /** Creates the view of a node that is leaving exactly when it accepts no requests. */
  public EntryView(List<NodeRecord> entries, long configVersion, boolean accepting) {
    this(entries, configVersion, accepting, !accepting);
  }

  /** Returns the initial view: no entries, and requests are accepted. */
  public static EntryView empty() {
    return new EntryView(List.of(), 0, true);
  }
}
