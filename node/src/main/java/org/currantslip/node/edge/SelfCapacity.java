package org.currantslip.node.edge;

import com.google.protobuf.Descriptors.FieldDescriptor;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.currantslip.core.membership.NodeReport;
import org.currantslip.schema.EdgeLimitSettings;
import org.currantslip.schema.EdgeSettings;
import org.currantslip.schema.NodeCapacity;
import org.currantslip.schema.Options;

/** What this node can carry, by its settings, and what it carries now. */
final class SelfCapacity {
  private static final double MILLI = 1_000;

  private final NodeCapacity limits;
  private final LongSupplier lagMs;
  private final IntSupplier inFlight;
  private final BooleanSupplier endpointsUnreachable;

  private SelfCapacity(
      NodeCapacity limits,
      LongSupplier lagMs,
      IntSupplier inFlight,
      BooleanSupplier endpointsUnreachable) {
    this.limits = limits;
    this.lagMs = lagMs;
    this.inFlight = inFlight;
    this.endpointsUnreachable = endpointsUnreachable;
  }

  /**
   * Creates an instance.
   *
   * @param lagMs returns the time by which the node's decisions lag behind its input
   * @param inFlight returns the number of requests in progress
   * @param endpointsUnreachable returns whether this node cannot reach any endpoint
   */
  static SelfCapacity create(
      EdgeSettings settings,
      LongSupplier lagMs,
      IntSupplier inFlight,
      BooleanSupplier endpointsUnreachable) {
    EdgeLimitSettings named = settings.getLimits();
    if (!namesLimits(named)) {
      return new SelfCapacity(
          NodeCapacity.getDefaultInstance(), lagMs, inFlight, endpointsUnreachable);
    }
    NodeCapacity limits =
        NodeCapacity.newBuilder()
            .setMilliCores((int) Math.max(1, named.getCores() * named.getCpuShare() * MILLI))
            .setMemoryMb(named.getMemoryMb())
            .setMaxDescriptors(named.getMaxDescriptors())
            .setLinkMbps(named.getLinkMbps())
            .build();
    return new SelfCapacity(limits, lagMs, inFlight, endpointsUnreachable);
  }

  /** Returns whether a limit differs from the default, which settings without limits have too. */
  private static boolean namesLimits(EdgeLimitSettings named) {
    return named.getAllFields().entrySet().stream()
        .anyMatch(field -> !isDefault(field.getKey(), (Number) field.getValue()));
  }

  private static boolean isDefault(FieldDescriptor field, Number value) {
    String fallback = field.getOptions().getExtension(Options.constraint).getFallback();
    return !fallback.isEmpty() && Double.parseDouble(fallback) == value.doubleValue();
  }

  /** Returns the report for heartbeats; without limits in the settings it has no capacity. */
  NodeReport report() {
    if (limits.getMilliCores() == 0) {
      return new NodeReport(limits, endpointsUnreachable.getAsBoolean());
    }
    NodeCapacity capacity =
        limits.toBuilder()
            .setLagMs((int) Math.min(Integer.MAX_VALUE, lagMs.getAsLong()))
            .setInFlight(inFlight.getAsInt())
            .build();
    return new NodeReport(capacity, endpointsUnreachable.getAsBoolean());
  }
}
