package org.currantslip.bench.exposure;

/**
 * How a version turns bad and how its answers are rated.
 *
 * @param name name in the table
 * @param inService whether the version is in full service, rather than in its first stage
 * @param badRate share of bad answers once it is bad
 * @param errorRate share of failed requests once it is bad
 * @param ratingDelayMs mean delay of a rating
 * @param coverage share of answers that are ever rated
 */
record Scenario(
    String name,
    boolean inService,
    double badRate,
    double errorRate,
    long ratingDelayMs,
    double coverage) {
  static final double GOOD_BAD_RATE = 0.03;
  static final double GOOD_ERROR_RATE = 0.01;

  static Scenario stage(double badRate, long delayMs, double coverage) {
    return new Scenario("stage", false, badRate, GOOD_ERROR_RATE, delayMs, coverage);
  }

  static Scenario service(double badRate, long delayMs, double coverage) {
    return new Scenario("service", true, badRate, GOOD_ERROR_RATE, delayMs, coverage);
  }

  static Scenario errors(boolean inService, double errorRate) {
    String name = inService ? "service errors" : "stage errors";
    return new Scenario(name, inService, GOOD_BAD_RATE, errorRate, 10_000, 1);
  }

  boolean byErrors() {
    return errorRate > GOOD_ERROR_RATE;
  }
}
