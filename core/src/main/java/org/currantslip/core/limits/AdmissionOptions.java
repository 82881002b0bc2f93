package org.currantslip.core.limits;

/**
 * Admission limits of one node.
 *
 * @param maxInFlight maximum number of requests running at once
 * @param maxQueued maximum number of queued requests
 * @param retryRatio retries allowed per admitted request
 */
public record AdmissionOptions(int maxInFlight, int maxQueued, double retryRatio) {
  /** Returns the production defaults. */
  public static AdmissionOptions defaults() {
    return new AdmissionOptions(1024, 1024, 0.1);
  }
}
