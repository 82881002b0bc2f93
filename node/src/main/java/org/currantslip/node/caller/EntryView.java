package org.currantslip.node.caller;

import java.util.List;
import org.currantslip.schema.NodeRecord;

/**
 * What the front door may know of the node's state; immutable, published by the decision thread.
 *
 * @param entries nodes that callers may be sent to
 * @param configVersion version of the configuration in force
 * @param accepting whether new requests are served
 */
public record EntryView(List<NodeRecord> entries, long configVersion, boolean accepting) {
  /** Returns the view before anything is known. */
  public static EntryView empty() {
    return new EntryView(List.of(), 0, true);
  }
}
