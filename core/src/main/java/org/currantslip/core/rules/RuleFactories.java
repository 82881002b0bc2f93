package org.currantslip.core.rules;

/** Creates rules of each kind from validated field values. */
final class RuleFactories {
  private RuleFactories() {}

  static Rule allowModel(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.AllowModel(
        origin,
        values.text("account"),
        values.text("task"),
        values.text("model"),
        values.text("version"));
  }

  static Rule serve(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.Serve(origin, values.text("model"), values.text("version"));
  }

  static Rule pause(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.PauseRollout(origin, values.text("model"), values.text("version"));
  }

  static Rule withdraw(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.Withdraw(origin, values.text("model"), values.text("version"));
  }

  static Rule tier(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.Tier(
        origin,
        values.text("account"),
        values.text("task"),
        values.text("model"),
        (int) values.number("order"));
  }

  static Rule quality(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.QualityTarget(
        origin, values.text("account"), values.text("task"), values.number("target"));
  }

  static Rule level(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.ServiceLevel(
        origin,
        values.text("account"),
        values.text("task"),
        values.number("availability"),
        (long) values.number("latency_ms"));
  }

  static Rule allowService(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.AllowService(origin, values.text("account"), values.text("service"));
  }

  static Rule rollout(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.RolloutStage(
        origin,
        values.text("model"),
        values.text("version"),
        (int) values.number("stage"),
        values.number("share"),
        (int) values.number("min_requests"));
  }

  static Rule resume(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.ResumeRollout(
        origin, values.text("model"), values.text("version"), (int) values.number("stage"));
  }

  static Rule once(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.AtMostOnce(
        origin,
        values.text("account"),
        values.text("service"),
        values.text("method"),
        values.text("path"));
  }

  static Rule price(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.Price(
        origin,
        values.text("model"),
        values.text("version"),
        (long) values.number("prompt_micros_per_ktok"),
        (long) values.number("completion_micros_per_ktok"));
  }

  static Rule limit(Rule.Origin origin, RuleForm.Values values) {
    return new Rule.Limit(
        origin,
        values.text("account"),
        values.number("requests_per_s"),
        values.number("tokens_per_s"),
        values.number("burst_s"));
  }
}
