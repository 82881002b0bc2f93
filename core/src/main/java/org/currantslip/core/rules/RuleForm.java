package org.currantslip.core.rules;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The forms that a rule line may have: verb, fields and the rule they make. */
enum RuleForm {
  ALLOW_MODEL(
      "allow",
      fields(
          "account", FieldKind.NAME_OR_ANY,
          "task", FieldKind.NAME_OR_ANY,
          "model", FieldKind.NAME_OR_ANY,
          "version", FieldKind.NAME_OR_ANY),
      (o, f) ->
          new Rule.AllowModel(
              o, f.text("account"), f.text("task"), f.text("model"), f.text("version"))),
  ALLOW_SERVICE(
      "allow",
      fields("account", FieldKind.NAME_OR_ANY, "service", FieldKind.NAME_OR_ANY),
      (o, f) -> new Rule.AllowService(o, f.text("account"), f.text("service"))),
  SERVE(
      "serve",
      fields("model", FieldKind.NAME, "version", FieldKind.NAME),
      (o, f) -> new Rule.Serve(o, f.text("model"), f.text("version"))),
  ROLLOUT(
      "rollout",
      fields(
          "model", FieldKind.NAME,
          "version", FieldKind.NAME,
          "stage", FieldKind.STAGE,
          "share", FieldKind.SHARE,
          "min_requests", FieldKind.COUNT),
      (o, f) ->
          new Rule.RolloutStage(
              o,
              f.text("model"),
              f.text("version"),
              (int) f.number("stage"),
              f.number("share"),
              (int) f.number("min_requests"))),
  PAUSE(
      "pause",
      fields("model", FieldKind.NAME, "version", FieldKind.NAME),
      (o, f) -> new Rule.PauseRollout(o, f.text("model"), f.text("version"))),
  RESUME(
      "resume",
      fields("model", FieldKind.NAME, "version", FieldKind.NAME, "stage", FieldKind.STAGE),
      (o, f) ->
          new Rule.ResumeRollout(o, f.text("model"), f.text("version"), (int) f.number("stage"))),
  WITHDRAW(
      "withdraw",
      fields("model", FieldKind.NAME, "version", FieldKind.NAME_OR_ANY),
      (o, f) -> new Rule.Withdraw(o, f.text("model"), f.text("version"))),
  ONCE(
      "once",
      fields(
          "account", FieldKind.NAME_OR_ANY,
          "service", FieldKind.NAME_OR_ANY,
          "method", FieldKind.METHOD,
          "path", FieldKind.PATH),
      (o, f) ->
          new Rule.AtMostOnce(
              o, f.text("account"), f.text("service"), f.text("method"), f.text("path"))),
  TIER(
      "tier",
      fields(
          "account", FieldKind.NAME_OR_ANY,
          "task", FieldKind.NAME_OR_ANY,
          "model", FieldKind.NAME,
          "order", FieldKind.ORDER),
      (o, f) ->
          new Rule.Tier(
              o, f.text("account"), f.text("task"), f.text("model"), (int) f.number("order"))),
  PRICE(
      "price",
      fields(
          "model", FieldKind.NAME,
          "version", FieldKind.NAME_OR_ANY,
          "prompt_micros_per_ktok", FieldKind.MICROS,
          "completion_micros_per_ktok", FieldKind.MICROS),
      (o, f) ->
          new Rule.Price(
              o,
              f.text("model"),
              f.text("version"),
              (long) f.number("prompt_micros_per_ktok"),
              (long) f.number("completion_micros_per_ktok"))),
  QUALITY(
      "quality",
      fields(
          "account", FieldKind.NAME_OR_ANY,
          "task", FieldKind.NAME_OR_ANY,
          "target", FieldKind.SHARE),
      (o, f) -> new Rule.QualityTarget(o, f.text("account"), f.text("task"), f.number("target"))),
  LIMIT(
      "limit",
      fields(
          "account", FieldKind.NAME_OR_ANY,
          "requests_per_s", FieldKind.RATE,
          "tokens_per_s", FieldKind.RATE,
          "burst_s", FieldKind.BURST_S),
      (o, f) ->
          new Rule.Limit(
              o,
              f.text("account"),
              f.number("requests_per_s"),
              f.number("tokens_per_s"),
              f.number("burst_s"))),
  LEVEL(
      "level",
      fields(
          "account", FieldKind.NAME_OR_ANY,
          "task", FieldKind.NAME_OR_ANY,
          "availability", FieldKind.SHARE,
          "latency_ms", FieldKind.LATENCY_MS),
      (o, f) ->
          new Rule.ServiceLevel(
              o,
              f.text("account"),
              f.text("task"),
              f.number("availability"),
              (long) f.number("latency_ms")));

  private final String verb;
  private final ImmutableMap<String, FieldKind> fields;
  private final Maker maker;

  RuleForm(String verb, ImmutableMap<String, FieldKind> fields, Maker maker) {
    this.verb = verb;
    this.fields = fields;
    this.maker = maker;
  }

  /** Makes a rule from checked field values. */
  @FunctionalInterface
  interface Maker {
    Rule make(Rule.Origin origin, Values values);
  }

  /** Checked field values of one line. */
  record Values(Map<String, String> byKey) {
    String text(String key) {
      String value = byKey.get(key);
      if (value == null) {
        throw new IllegalArgumentException("field was not checked: " + key);
      }
      return value;
    }

    double number(String key) {
      return FieldKind.number(text(key));
    }
  }

  /** Returns the form of a line with this verb and these keys. */
  static Optional<RuleForm> of(String verb, List<String> keys) {
    List<RuleForm> forms = Arrays.stream(values()).filter(f -> f.verb.equals(verb)).toList();
    return forms.stream()
        .filter(f -> f == ALLOW_SERVICE && keys.contains("service"))
        .findFirst()
        .or(() -> forms.stream().findFirst());
  }

  static ImmutableList<String> verbs() {
    return Arrays.stream(values())
        .map(f -> f.verb)
        .distinct()
        .collect(ImmutableList.toImmutableList());
  }

  String verb() {
    return verb;
  }

  ImmutableMap<String, FieldKind> fields() {
    return fields;
  }

  Rule make(Rule.Origin origin, Map<String, String> values) {
    return maker.make(origin, new Values(values));
  }

  private static ImmutableMap<String, FieldKind> fields(Object... keysAndKinds) {
    ImmutableMap.Builder<String, FieldKind> map = ImmutableMap.builder();
    for (int i = 0; i < keysAndKinds.length; i += 2) {
      map.put((String) keysAndKinds[i], (FieldKind) keysAndKinds[i + 1]);
    }
    return map.buildOrThrow();
  }
}
