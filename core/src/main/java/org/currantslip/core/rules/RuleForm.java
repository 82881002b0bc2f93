package org.currantslip.core.rules;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Syntax of each kind of rule: its verb, its fields and a factory for the rule. */
enum RuleForm {
  ALLOW_MODEL(
      "allow",
      fieldMap(
          "account", FieldKind.NAME_OR_ANY,
          "task", FieldKind.NAME_OR_ANY,
          "model", FieldKind.NAME_OR_ANY,
          "version", FieldKind.NAME_OR_ANY),
      RuleFactories::allowModel),
  ALLOW_SERVICE(
      "allow",
      fieldMap("account", FieldKind.NAME_OR_ANY, "service", FieldKind.NAME_OR_ANY),
      RuleFactories::allowService),
  SERVE(
      "serve", fieldMap("model", FieldKind.NAME, "version", FieldKind.NAME), RuleFactories::serve),
  ROLLOUT(
      "rollout",
      fieldMap(
          "model", FieldKind.NAME,
          "version", FieldKind.NAME,
          "stage", FieldKind.STAGE,
          "share", FieldKind.SHARE,
          "min_requests", FieldKind.COUNT),
      RuleFactories::rollout),
  PAUSE(
      "pause", fieldMap("model", FieldKind.NAME, "version", FieldKind.NAME), RuleFactories::pause),
  RESUME(
      "resume",
      fieldMap("model", FieldKind.NAME, "version", FieldKind.NAME, "stage", FieldKind.STAGE),
      RuleFactories::resume),
  WITHDRAW(
      "withdraw",
      fieldMap("model", FieldKind.NAME, "version", FieldKind.NAME_OR_ANY),
      RuleFactories::withdraw),
  ONCE(
      "once",
      fieldMap(
          "account", FieldKind.NAME_OR_ANY,
          "service", FieldKind.NAME_OR_ANY,
          "method", FieldKind.METHOD,
          "path", FieldKind.PATH),
      RuleFactories::once),
  TIER(
      "tier",
      fieldMap(
          "account", FieldKind.NAME_OR_ANY,
          "task", FieldKind.NAME_OR_ANY,
          "model", FieldKind.NAME,
          "order", FieldKind.ORDER),
      RuleFactories::tier),
  PRICE(
      "price",
      fieldMap(
          "model", FieldKind.NAME,
          "version", FieldKind.NAME_OR_ANY,
          "prompt_micros_per_ktok", FieldKind.MICROS,
          "completion_micros_per_ktok", FieldKind.MICROS),
      RuleFactories::price),
  QUALITY(
      "quality",
      fieldMap(
          "account", FieldKind.NAME_OR_ANY,
          "task", FieldKind.NAME_OR_ANY,
          "target", FieldKind.SHARE),
      RuleFactories::quality),
  LIMIT(
      "limit",
      fieldMap(
          "account", FieldKind.NAME_OR_ANY,
          "requests_per_s", FieldKind.RATE,
          "tokens_per_s", FieldKind.RATE,
          "burst_s", FieldKind.BURST_S),
      RuleFactories::limit),
  LEVEL(
      "level",
      fieldMap(
          "account", FieldKind.NAME_OR_ANY,
          "task", FieldKind.NAME_OR_ANY,
          "availability", FieldKind.SHARE,
          "latency_ms", FieldKind.LATENCY_MS),
      RuleFactories::level);

  private final String verb;
  private final ImmutableMap<String, FieldKind> fields;
  private final RuleFactory factory;

  RuleForm(String verb, ImmutableMap<String, FieldKind> fields, RuleFactory factory) {
    this.verb = verb;
    this.fields = fields;
    this.factory = factory;
  }

  /** Creates a rule from validated field values. */
  @FunctionalInterface
  interface RuleFactory {
    Rule create(Rule.Origin origin, Values values);
  }

  /** Validated field values of one line. */
  record Values(Map<String, String> byKey) {
    String text(String key) {
      String value = byKey.get(key);
      if (value == null) {
        throw new IllegalArgumentException("field was not validated: " + key);
      }
      return value;
    }

    double number(String key) {
      return FieldKind.parseNumber(text(key));
    }
  }

  /** Returns the form of a line with the given verb and field keys. */
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

  Rule createRule(Rule.Origin origin, Map<String, String> values) {
    return factory.create(origin, new Values(values));
  }

  private static ImmutableMap<String, FieldKind> fieldMap(Object... keysAndKinds) {
    ImmutableMap.Builder<String, FieldKind> map = ImmutableMap.builder();
    for (int i = 0; i < keysAndKinds.length; i += 2) {
      map.put((String) keysAndKinds[i], (FieldKind) keysAndKinds[i + 1]);
    }
    return map.buildOrThrow();
  }
}
