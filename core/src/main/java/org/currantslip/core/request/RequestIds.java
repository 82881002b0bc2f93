package org.currantslip.core.request;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Optional;
import org.currantslip.schema.NodeId;

/** Generates request ids of the form NODE.INCARNATION.SEQUENCE, with the numbers in base 36. */
public final class RequestIds {
  private static final int RADIX = 36;
  private static final Splitter PART_SPLITTER = Splitter.on('.');

  private final String prefix;
  private long sequence;

  private RequestIds(String prefix) {
    this.prefix = prefix;
  }

  /** Returns a generator for one incarnation of a node. */
  public static RequestIds create(NodeId node) {
    return new RequestIds(node.getName() + "." + Long.toString(node.getIncarnation(), RADIX) + ".");
  }

  /** Returns the next id. */
  public String next() {
    return prefix + Long.toString(++sequence, RADIX);
  }

  /** Returns the node that generated an id, or empty if the id is malformed. */
  public static Optional<NodeId> issuingNode(String requestId) {
    List<String> parts = PART_SPLITTER.splitToList(requestId);
    if (parts.size() != 3 || parts.get(0).isEmpty()) {
      return Optional.empty();
    }
    try {
      long incarnation = Long.parseLong(parts.get(1), RADIX);
      return Optional.of(
          NodeId.newBuilder().setName(parts.get(0)).setIncarnation(incarnation).build());
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
