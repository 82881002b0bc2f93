package org.currantslip.bench.exposure;

/**
 * Describes how a version behaves once it has turned bad and how its answers are rated.
 *
 * @param name name of the case in the result table
 * @param inService whether the version is in full service, rather than in its first stage
 * @param badRate share of bad answers of the bad version
 * @param errorRate share of failed requests of the bad version
 * @param ratingDelayMs mean delay between an answer and its rating
 * @param coverage share of answers that are ever rated
 */
record Scenario(
    String name,
    boolean inService,
    double badRate,
    double errorRate,
    long ratingDelayMs,
    double coverage) {
  static final double HEALTHY_BAD_RATE = 0.03;
  static final double HEALTHY_ERROR_RATE = 0.01;

  static Scenario stage(double badRate, long ratingDelayMs, double coverage) {
    return new Scenario("stage", false, badRate, HEALTHY_ERROR_RATE, ratingDelayMs, coverage);
  }

  static Scenario service(double badRate, long ratingDelayMs, double coverage) {
    return new Scenario("service", true, badRate, HEALTHY_ERROR_RATE, ratingDelayMs, coverage);
  }

  static Scenario errors(boolean inService, double errorRate) {
    String name = inService ? "service errors" : "stage errors";
    return new Scenario(name, inService, HEALTHY_BAD_RATE, errorRate, 10_000, 1);
  }

  /** Returns whether the version turns bad by failed requests rather than by bad answers. */
  boolean isErrorScenario() {
    return errorRate > HEALTHY_ERROR_RATE;
  }
}
