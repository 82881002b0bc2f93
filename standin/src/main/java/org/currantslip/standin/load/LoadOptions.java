package org.currantslip.standin.load;

/**
 * What the load driver sends.
 *
 * @param ratePerS arrivals a second on each arm; zero keeps {@code inFlight} requests under way
 * @param inFlight requests kept under way when there is no rate
 * @param warmUpMs time at the start that is not counted
 * @param lengthMs counted time
 * @param stream whether server-sent events are asked for
 * @param model model to ask for
 * @param task task to name
 * @param token bearer token
 * @param seed seed of the arrival times
 */
record LoadOptions(
    double ratePerS,
    int inFlight,
    long warmUpMs,
    long lengthMs,
    boolean stream,
    String model,
    String task,
    String token,
    long seed) {}
