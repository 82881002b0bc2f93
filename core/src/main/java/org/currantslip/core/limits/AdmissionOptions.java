package org.currantslip.core.limits;

/**
 * Bounds of admission at one node.
 *
 * @param maxInFlight requests of this node that may run at once
 * @param maxQueued requests that may wait at this node
 * @param retryShare retries allowed per request
 */
public record AdmissionOptions(int maxInFlight, int maxQueued, double retryShare) {
  /** Returns the options used in production. */
  public static AdmissionOptions defaults() {
    return new AdmissionOptions(1024, 1024, 0.1);
  }
}
