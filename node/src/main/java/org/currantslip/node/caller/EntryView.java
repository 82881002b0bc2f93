package org.currantslip.node.caller;

import java.util.List;
import org.currantslip.schema.NodeRecord;

/**
 * What the front door may know of the node's state; immutable, published by the decision thread.
 *
 * @param entries nodes that callers may be sent to
 * @param configVersion version of the configuration in force
 * @param accepting whether new requests are served
 * @param leaving whether callers should open no further connections to this node
 */
public record EntryView(
    List<NodeRecord> entries, long configVersion, boolean accepting, boolean leaving) {
  /** Returns the view of a node that serves callers as long as it accepts requests. */
  public EntryView(List<NodeRecord> entries, long configVersion, boolean accepting) {
    this(entries, configVersion, accepting, !accepting);
  }

  /** Returns the view before anything is known. */
  public static EntryView empty() {
    return new EntryView(List.of(), 0, true);
  }
}
