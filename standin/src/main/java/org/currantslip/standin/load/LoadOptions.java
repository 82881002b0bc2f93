package org.currantslip.standin.load;

/**
 * Settings of a load run.
 *
 * @param ratePerS arrivals per second on each target; zero keeps {@code inFlight} requests in
 *     progress
 * @param inFlight concurrent requests if there is no rate
 * @param warmUpMs time at the start that is excluded from the statistics
 * @param durationMs measured time after the warm-up
 * @param stream whether answers are requested as server-sent events
 * @param model model to request
 * @param task task to send with each request
 * @param token bearer token
 * @param seed seed of the arrival times, also part of the prompts
 */
record LoadOptions(
    double ratePerS,
    int inFlight,
    long warmUpMs,
    long durationMs,
    boolean stream,
    String model,
    String task,
    String token,
    long seed) {}
