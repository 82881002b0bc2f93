package org.currantslip.core.rules;

import java.util.List;

/**
 * One line of the rules file.
 *
 * <p>The pattern {@link #ANY} in a name field matches every name.
 */
public sealed interface Rule {
  /** Matches every name. */
  String ANY = "*";

  /** Returns the source line of the rule and its requester. */
  Origin origin();

  /** Returns whether {@code pattern} matches {@code name}. */
  static boolean matches(String pattern, String name) {
    return pattern.equals(ANY) || pattern.equals(name);
  }

  /**
   * Source of a rule.
   *
   * @param line line number, starting at 1
   * @param text the complete line
   * @param askedBy name of the person who requested the rule
   */
  record Origin(int line, String text, String askedBy) {}

  /** Allows a client account to use a model and version for a task. */
  record AllowModel(Origin origin, String account, String task, String model, String version)
      implements Rule {}

  /** Allows a client account to use a plain service. */
  record AllowService(Origin origin, String account, String service) implements Rule {}

  /** Puts a version in full service; it receives all requests not assigned to a rollout stage. */
  record Serve(Origin origin, String model, String version) implements Rule {}

  /**
   * One stage of a rollout.
   *
   * @param stage stage number, starting at 1
   * @param share fraction of the model's requests, above 0 and at most 1
   * @param minRequests requests that must be rated before the next stage
   */
  record RolloutStage(
      Origin origin, String model, String version, int stage, double share, int minRequests)
      implements Rule {}

  /** Pauses a rollout at its current stage. */
  record PauseRollout(Origin origin, String model, String version) implements Rule {}

  /**
   * Resumes a stopped rollout.
   *
   * @param stage stage to resume from
   */
  record ResumeRollout(Origin origin, String model, String version, int stage) implements Rule {}

  /** Takes a version out of service; it receives no new work. */
  record Withdraw(Origin origin, String model, String version) implements Rule {}

  /** Marks calls to a plain service that must run at most once. */
  record AtMostOnce(Origin origin, String account, String service, String method, String pathPrefix)
      implements Rule {}

  /** Adds a model to the cascade of a task; lower orders are cheaper and tried first. */
  record Tier(Origin origin, String account, String task, String model, int order)
      implements Rule {}

  /** Price of a version in millionths of the currency unit per thousand tokens. */
  record Price(
      Origin origin,
      String model,
      String version,
      long promptMicrosPerKtok,
      long completionMicrosPerKtok)
      implements Rule {}

  /** Minimum fraction of answers rated good. */
  record QualityTarget(Origin origin, String account, String task, double target) implements Rule {}

  /** Rate limit of a client account across all nodes. */
  record Limit(Origin origin, String account, double requestsPerS, double tokensPerS, double burstS)
      implements Rule {}

  /**
   * Service-level objective for a client account and task.
   *
   * @param availability target fraction of successful requests
   * @param latencyMs maximum time to first byte
   */
  record ServiceLevel(
      Origin origin, String account, String task, double availability, long latencyMs)
      implements Rule {}

  /** Returns the distinct line numbers of several rules in ascending order. */
  static List<Integer> lines(List<? extends Rule> rules) {
    return rules.stream().map(r -> r.origin().line()).sorted().distinct().toList();
  }
}
