package org.currantslip.core.rules;

/** Makes a rule of each kind from checked field values. */
final class RuleMakers {
  private RuleMakers() {}

  static Rule allowModel(Rule.Origin o, RuleForm.Values f) {
    return new Rule.AllowModel(
        o, f.text("account"), f.text("task"), f.text("model"), f.text("version"));
  }

  static Rule serve(Rule.Origin o, RuleForm.Values f) {
    return new Rule.Serve(o, f.text("model"), f.text("version"));
  }

  static Rule pause(Rule.Origin o, RuleForm.Values f) {
    return new Rule.PauseRollout(o, f.text("model"), f.text("version"));
  }

  static Rule withdraw(Rule.Origin o, RuleForm.Values f) {
    return new Rule.Withdraw(o, f.text("model"), f.text("version"));
  }

  static Rule tier(Rule.Origin o, RuleForm.Values f) {
    return new Rule.Tier(
        o, f.text("account"), f.text("task"), f.text("model"), (int) f.number("order"));
  }

  static Rule quality(Rule.Origin o, RuleForm.Values f) {
    return new Rule.QualityTarget(o, f.text("account"), f.text("task"), f.number("target"));
  }

  static Rule level(Rule.Origin o, RuleForm.Values f) {
    return new Rule.ServiceLevel(
        o,
        f.text("account"),
        f.text("task"),
        f.number("availability"),
        (long) f.number("latency_ms"));
  }

  static Rule allowService(Rule.Origin o, RuleForm.Values f) {
    return new Rule.AllowService(o, f.text("account"), f.text("service"));
  }

  static Rule rollout(Rule.Origin o, RuleForm.Values f) {
    return new Rule.RolloutStage(
        o,
        f.text("model"),
        f.text("version"),
        (int) f.number("stage"),
        f.number("share"),
        (int) f.number("min_requests"));
  }

  static Rule resume(Rule.Origin o, RuleForm.Values f) {
    return new Rule.ResumeRollout(o, f.text("model"), f.text("version"), (int) f.number("stage"));
  }

  static Rule once(Rule.Origin o, RuleForm.Values f) {
    return new Rule.AtMostOnce(
        o, f.text("account"), f.text("service"), f.text("method"), f.text("path"));
  }

  static Rule price(Rule.Origin o, RuleForm.Values f) {
    return new Rule.Price(
        o,
        f.text("model"),
        f.text("version"),
        (long) f.number("prompt_micros_per_ktok"),
        (long) f.number("completion_micros_per_ktok"));
  }

  static Rule limit(Rule.Origin o, RuleForm.Values f) {
    return new Rule.Limit(
        o,
        f.text("account"),
        f.number("requests_per_s"),
        f.number("tokens_per_s"),
        f.number("burst_s"));
  }
}
