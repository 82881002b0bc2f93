package org.currantslip.core.rules;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.currantslip.core.common.ResultCode;

/** Parses a rules file: one rule per line, each with a comment that names its requester. */
public final class RulesParser {
  /** Maximum size of a rules file; leaves room for the other fields of the stored object. */
  public static final int MAX_TEXT_BYTES = 900_000;

  private static final int MAX_PROBLEMS = 100;
  private static final Splitter LINE_SPLITTER = Splitter.onPattern("\r?\n");

  private RulesParser() {}

  /**
   * Parses a rules file.
   *
   * @throws RulesException with every problem found
   */
  public static RuleSet parse(String text) throws RulesException {
    ProblemList problems = new ProblemList();
    if (text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES) {
      problems.add(
          1,
          1,
          ResultCode.RULES_TOO_LARGE,
          "rules file is larger than " + MAX_TEXT_BYTES + " bytes");
      throw RulesException.of(problems.sortedProblems());
    }
    List<Rule> rules = new ArrayList<>();
    int number = 0;
    for (String line : LINE_SPLITTER.split(text)) {
      number++;
      if (!RuleLine.isBlank(line) && problems.size() < MAX_PROBLEMS) {
        RuleLine split = RuleLine.split(number, line, problems);
        parseLine(split, problems).ifPresent(rules::add);
      }
    }
    RuleConflicts.find(rules, problems);
    if (!problems.isEmpty()) {
      throw RulesException.of(problems.sortedProblems());
    }
    return RuleSet.of(rules);
  }

  private static Optional<Rule> parseLine(RuleLine line, ProblemList problems) {
    ImmutableList<String> keys =
        line.fields().stream().map(RuleLine.Field::key).collect(ImmutableList.toImmutableList());
    Optional<RuleForm> form = RuleForm.of(line.verb().text(), keys);
    if (form.isEmpty()) {
      problems.add(
          line.number(),
          line.verb().column(),
          ResultCode.RULE_VERB_UNKNOWN,
          "unknown verb "
              + line.verb().text()
              + "; known verbs are "
              + String.join(", ", RuleForm.verbs()));
      return Optional.empty();
    }
    return checkFields(line, form.get(), problems)
        .map(v -> form.get().createRule(line.origin(), v));
  }

  private static Optional<Map<String, String>> checkFields(
      RuleLine line, RuleForm form, ProblemList problems) {
    int problemsBefore = problems.size();
    Map<String, String> values = new HashMap<>();
    for (RuleLine.Field field : line.fields()) {
      FieldKind kind = form.fields().get(field.key());
      if (kind == null) {
        problems.add(
            line.number(),
            field.column(),
            ResultCode.RULE_FIELD_UNKNOWN,
            "%s has no field %s; its fields are %s"
                .formatted(form.verb(), field.key(), String.join(", ", form.fields().keySet())));
      } else if (values.putIfAbsent(field.key(), field.value()) != null) {
        problems.add(
            line.number(),
            field.column(),
            ResultCode.RULE_FIELD_TWICE,
            "field " + field.key() + " appears more than once");
      } else {
        checkValue(line, field, kind, problems);
      }
    }
    form.fields().keySet().stream()
        .filter(k -> !values.containsKey(k))
        .forEach(
            k ->
                problems.add(
                    line.number(),
                    line.verb().column(),
                    ResultCode.RULE_FIELD_MISSING,
                    form.verb() + " needs field " + k));
    return problems.size() == problemsBefore ? Optional.of(values) : Optional.empty();
  }

  private static void checkValue(
      RuleLine line, RuleLine.Field field, FieldKind kind, ProblemList problems) {
    if (!kind.isWellFormed(field.value())) {
      problems.add(
          line.number(),
          field.valueColumn(),
          ResultCode.RULE_VALUE_MALFORMED,
          "%s must be %s, not %s".formatted(field.key(), kind.description(), field.value()));
    } else if (!kind.isInRange(field.value())) {
      problems.add(
          line.number(),
          field.valueColumn(),
          ResultCode.RULE_VALUE_OUT_OF_RANGE,
          "%s must be %s, not %s".formatted(field.key(), kind.rangeDescription(), field.value()));
    }
  }
}
