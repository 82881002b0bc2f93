package org.currantslip.core.routing;

/**
 * A load report of an endpoint.
 *
 * @param endpointId id of the endpoint
 * @param running number of requests being processed
 * @param waiting number of queued requests
 * @param tokensPerS tokens generated per second over the last reporting interval
 * @param reportedMs time at which the report was created
 * @param workPercent time that work takes on the endpoint's machine, in percent of the usual
 */
public record EndpointLoad(
    String endpointId,
    int running,
    int waiting,
    double tokensPerS,
    long reportedMs,
    int workPercent) {
  private static final int USUAL_WORK_PERCENT = 100;

  /** Creates the report of an endpoint that has its machine to itself. */
  public EndpointLoad(
      String endpointId, int running, int waiting, double tokensPerS, long reportedMs) {
    this(endpointId, running, waiting, tokensPerS, reportedMs, USUAL_WORK_PERCENT);
  }
}
