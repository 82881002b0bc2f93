package org.currantslip.core.directory;

import java.util.List;
import java.util.stream.DoubleStream;
import org.currantslip.schema.NodeCapacity;

/**
 * Estimates what nodes can carry.
 *
 * <p>The figures per request are those of usual requests. Only the ratios between nodes matter, and
 * which resource of a node is the scarcest.
 */
final class NodeWeights {
  /** A warm request costs a few milliseconds of processor time. */
  private static final double REQUESTS_PER_CORE_S = 120;

  /** A prompt of some ten thousand tokens is received once and sent once. */
  private static final double REQUEST_MBIT = 0.6;

  private static final double REQUEST_DURATION_S = 5;
  private static final double DESCRIPTORS_PER_REQUEST = 2;

  /** Descriptors of the process itself, of its links to peers and of idle callers. */
  private static final double RESERVED_DESCRIPTORS = 300;

  /** Memory that the process takes without requests. */
  private static final double BASE_MEMORY_MB = 100;

  private static final double REQUEST_MEMORY_MB = 0.1;

  /** No node is left out altogether: the estimate may be wrong. */
  private static final double MIN_WEIGHT = 1;

  /** From this lag on a node is behind; its requests wait before they are begun. */
  private static final long LAG_MS = 100;

  private static final long LONG_LAG_MS = 400;

  /** More requests in progress than this multiple of the usual show that a node is behind. */
  private static final double MAX_RELATIVE_LOAD = 2;

  /** Fewer requests in progress say nothing. */
  private static final int MIN_IN_FLIGHT = 8;

  private NodeWeights() {}

  /** Returns whether a node says what it can carry. */
  static boolean isKnown(NodeCapacity capacity) {
    return capacity.getMilliCores() > 0;
  }

  /** Returns the weights of nodes; one that says nothing of itself has the median of the others. */
  static double[] of(List<NodeCapacity> capacities) {
    double[] known =
        capacities.stream()
            .filter(NodeWeights::isKnown)
            .mapToDouble(NodeWeights::carries)
            .toArray();
    double median = median(known);
    double[] carried =
        capacities.stream().mapToDouble(c -> isKnown(c) ? carries(c) : median).toArray();
    double inFlight = capacities.stream().mapToDouble(NodeCapacity::getInFlight).sum();
    double usualLoad = inFlight / DoubleStream.of(carried).sum();
    double[] weights = new double[carried.length];
    for (int i = 0; i < weights.length; i++) {
      weights[i] = carried[i] * loadFactor(capacities.get(i), carried[i], usualLoad);
    }
    return weights;
  }

  private static double median(double[] values) {
    return values.length == 0
        ? MIN_WEIGHT
        : DoubleStream.of(values).sorted().skip(values.length / 2).findFirst().orElse(MIN_WEIGHT);
  }

  /** Returns the requests a second for which the scarcest resource of a node suffices. */
  private static double carries(NodeCapacity c) {
    double byCores = REQUESTS_PER_CORE_S * c.getMilliCores() / 1_000;
    double byLink = c.getLinkMbps() > 0 ? c.getLinkMbps() / REQUEST_MBIT : byCores;
    double byDescriptors =
        (c.getMaxDescriptors() - RESERVED_DESCRIPTORS)
            / (DESCRIPTORS_PER_REQUEST * REQUEST_DURATION_S);
    double byMemory = (c.getMemoryMb() - BASE_MEMORY_MB) / (REQUEST_MEMORY_MB * REQUEST_DURATION_S);
    return Math.max(
        MIN_WEIGHT, Math.min(Math.min(byCores, byLink), Math.min(byDescriptors, byMemory)));
  }

  /** Returns coarse steps, so that small changes of the load leave an answer as it is. */
  private static double loadFactor(NodeCapacity c, double carried, double usualLoad) {
    double byLag = c.getLagMs() >= LONG_LAG_MS ? 0.25 : c.getLagMs() >= LAG_MS ? 0.5 : 1;
    boolean isLoaded =
        c.getInFlight() >= MIN_IN_FLIGHT
            && c.getInFlight() > MAX_RELATIVE_LOAD * usualLoad * carried;
    return isLoaded ? byLag / 2 : byLag;
  }
}
