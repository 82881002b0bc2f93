package org.currantslip.core.rules;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

final class RulesFuzzTest {
  private static final List<String> FRAGMENTS =
      List.of(
          "allow",
          "serve",
          "limit",
          "rollout",
          " ",
          "\t",
          "\n",
          "\r\n",
          "#",
          " # Ana: x",
          "=",
          "account=a",
          "model=m",
          "version=v",
          "version=*",
          "task=t",
          "share=5%",
          "share=%",
          "stage=1",
          "stage=99999999999",
          "min_requests=1",
          "service=s",
          "*",
          "\u0000",
          "é",
          "%s");

  /** Any text parses and round-trips, or fails with located problems that have a rules code. */
  @Property(tries = 2000, seed = "20240611")
  void failsOnlyWithLocatedProblems(@ForAll("texts") String text) {
    try {
      RuleSet rules = RulesParser.parse(text);
      assertThat(RuleDiff.between(rules, RulesParser.parse(RuleText.of(rules))).isEmpty()).isTrue();
    } catch (RulesException e) {
      List<String> lines = text.lines().toList();
      assertThat(e.problems()).isNotEmpty();
      e.problems()
          .forEach(
              p -> {
                assertThat(p.getCode() / 1000).isEqualTo(6);
                assertThat(p.getLine()).isAtMost(lines.size());
                assertThat(p.getColumn()).isAtLeast(1);
                assertThat(p.getMessage()).isNotEmpty();
              });
    }
  }

  @Provide
  Arbitrary<String> texts() {
    Arbitrary<String> concatenated =
        Arbitraries.of(FRAGMENTS).list().ofMinSize(1).ofMaxSize(30).map(p -> String.join("", p));
    Arbitrary<String> spaceSeparated =
        Arbitraries.of(FRAGMENTS).list().ofMinSize(1).ofMaxSize(12).map(p -> String.join(" ", p));
    Arbitrary<String> corruptedSample =
        Arbitraries.integers()
            .between(0, RulesSamples.ALL.length() - 1)
            .flatMap(
                position ->
                    Arbitraries.chars()
                        .map(
                            c ->
                                RulesSamples.ALL.substring(0, position)
                                    + c
                                    + RulesSamples.ALL.substring(position + 1)));
    return Arbitraries.oneOf(
        concatenated, spaceSeparated, corruptedSample, Arbitraries.strings().ofMaxLength(200));
  }
}
