package org.currantslip.standin.soak;

/**
 * What a run injects.
 *
 * @param seconds duration of the faults
 * @param nodes number of nodes
 * @param calm whether the default faults of processes and connections are left out
 * @param pauses whether endpoints fall silent and go on
 * @param crashingRequests whether some requests crash each endpoint that begins to run them
 * @param changes whether the configuration, the settings and processes change in series
 */
record SoakOptions(
    int seconds,
    int nodes,
    boolean calm,
    boolean pauses,
    boolean crashingRequests,
    boolean changes) {

  /** Returns whether the configuration has the routes and attempts that the added kinds need. */
  boolean isExtended() {
    return pauses || crashingRequests || changes;
  }
}
