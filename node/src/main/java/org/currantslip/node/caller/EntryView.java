package org.currantslip.node.caller;

import java.util.List;
import org.currantslip.schema.NodeRecord;

/**
 * Immutable snapshot of the node's state for the caller server, published by the decision thread.
 *
 * @param entries nodes to which callers may connect
 * @param configVersion version of the configuration in force
 */
public record EntryView(List<NodeRecord> entries, long configVersion) {
  /** Returns the initial view without entries. */
  public static EntryView empty() {
    return new EntryView(List.of(), 0);
  }
}
