package org.currantslip.core.allowance;

/**
 * Bounds that the settings name.
 *
 * @param coldExcess multiple of the rate that a cold endpoint bears; zero if it has no bound
 * @param coldSlack requests a second beyond that
 */
public record AllowanceOptions(double coldExcess, double coldSlack) {
  /** Returns options under which cold endpoints have no bound. */
  public static AllowanceOptions none() {
    return new AllowanceOptions(0, 0);
  }

  /** Returns how many nodes may send to a cold endpoint of a service. */
  int coldSenders(double coldPerS) {
    double bound = coldPerS * coldExcess + coldSlack;
    if (bound < 1) {
      return 0;
    }
    // That many, each with one saved request, send at most the bound in any second.
    return (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.floor(bound - coldPerS)));
  }

  /** Returns the requests a second of all senders together. */
  double coldRate(double coldPerS) {
    double bound = coldPerS * coldExcess + coldSlack;
    // A single sender at no more than one request a second sends one in any second.
    return bound - coldPerS >= 1 ? coldPerS : Math.min(coldPerS, Math.max(1, bound - 1));
  }
}
