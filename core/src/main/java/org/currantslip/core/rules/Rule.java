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

  /** Returns where the line stands and who asked for it. */
  Origin origin();

  /** Returns whether {@code pattern} matches {@code name}. */
  static boolean matches(String pattern, String name) {
    return pattern.equals(ANY) || pattern.equals(name);
  }

  /**
   * Where a rule comes from.
   *
   * @param line line number, from 1
   * @param text the whole line
   * @param askedBy who asked for the rule
   */
  record Origin(int line, String text, String askedBy) {}

  /** Allows a client account to use a model and version for a task. */
  record AllowModel(Origin origin, String account, String task, String model, String version)
      implements Rule {}

  /** Allows a client account to use a plain service. */
  record AllowService(Origin origin, String account, String service) implements Rule {}

  /** Puts a version in full service; it takes what no roll-out stage takes. */
  record Serve(Origin origin, String model, String version) implements Rule {}

  /**
   * One stage of a roll-out.
   *
   * @param stage stage number, from 1
   * @param share share of the model's requests, above 0 and at most 1
   * @param minRequests requests judged good before the next stage
   */
  record RolloutStage(
      Origin origin, String model, String version, int stage, double share, int minRequests)
      implements Rule {}

  /** Holds a roll-out at its present stage. */
  record PauseRollout(Origin origin, String model, String version) implements Rule {}

  /**
   * Lets a stopped roll-out go on.
   *
   * @param stage the stage to go on from
   */
  record ResumeRollout(Origin origin, String model, String version, int stage) implements Rule {}

  /** Takes a version out of service; it receives no new work. */
  record Withdraw(Origin origin, String model, String version) implements Rule {}

  /** Marks calls to a plain service that run at most once. */
  record AtMostOnce(Origin origin, String account, String service, String method, String pathPrefix)
      implements Rule {}

  /** Places a model in the cascade of a task; lower orders are cheaper and tried first. */
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

  /** Least share of answers rated good. */
  record QualityTarget(Origin origin, String account, String task, double target) implements Rule {}

  /** Rate limit of a client account over all nodes. */
  record Limit(Origin origin, String account, double requestsPerS, double tokensPerS, double burstS)
      implements Rule {}

  /**
   * Service-level target of a client account and task.
   *
   * @param availability share of requests answered well
   * @param latencyMs time within which the first byte is due
   */
  record ServiceLevel(
      Origin origin, String account, String task, double availability, long latencyMs)
      implements Rule {}

  /** Origins of several rules, in order of their lines. */
  static List<Integer> lines(List<? extends Rule> rules) {
    return rules.stream().map(r -> r.origin().line()).sorted().distinct().toList();
  }
}
