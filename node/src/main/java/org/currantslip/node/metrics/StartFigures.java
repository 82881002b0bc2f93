package org.currantslip.node.metrics;

/**
 * How a node started.
 *
 * @param readyMs time from the begin of the process until callers could connect
 * @param warmUpMs part of it that warm-up took
 * @param processorMs processor time of the process during warm-up
 * @param calls calls of the warm-up
 */
public record StartFigures(long readyMs, long warmUpMs, long processorMs, int calls) {
  /** Returns the figures of a node that has not started yet. */
  public static StartFigures none() {
    return new StartFigures(0, 0, 0, 0);
  }
}
