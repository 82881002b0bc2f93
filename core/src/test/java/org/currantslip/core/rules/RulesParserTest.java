package org.currantslip.core.rules;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RulesParserTest {
  private static final String COMMENT = " # Ana: because";

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "grant account=a service=s # Ana: x | 1:1:6001",
        "allow account=a service=s | 1:26:6002",
        "allow account=a service=s # no asker | 1:26:6002",
        "serve model=m version=v colour=red # Ana: x | 1:25:6003",
        "serve model=m # Ana: x | 1:1:6004",
        "serve model=m model=n version=v # Ana: x | 1:15:6005",
        "serve model=m/n version=v # Ana: x | 1:13:6006",
        "quality account=a task=t target=101% # Ana: x | 1:33:6007",
        "quality account=a task=t target=0 # Ana: x | 1:33:6007",
        "rollout model=m version=v stage=0 share=1% min_requests=1 # Ana: x | 1:33:6007",
        "serve model=m version # Ana: x | 1:1:6004,1:15:6010",
        "`  serve model=m version=v#1 # Ana: x` | 1:25:6006",
      })
  void reportsLineColumnAndCode(String line, String expected) {
    assertThat(problems(line)).isEqualTo(expected);
  }

  @Test
  void reportsEveryProblem() {
    String text = "serve model=m\n\n# note\nnonsense\nallow account=a service=s\n";
    assertThat(problems(text)).isEqualTo("1:1:6004,1:14:6002,4:1:6001,4:9:6002,5:26:6002");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "serve model=m version=a | serve model=m version=b",
        "serve model=m version=a | withdraw model=m version=a",
        "serve model=m version=a | withdraw model=m version=*",
        "rollout model=m version=a stage=1 share=1% min_requests=1 | withdraw model=m version=a",
        "rollout model=m version=a stage=1 share=1% min_requests=1"
            + " | rollout model=m version=a stage=3 share=2% min_requests=1",
        "rollout model=m version=a stage=1 share=5% min_requests=1"
            + " | rollout model=m version=a stage=2 share=2% min_requests=1",
        "rollout model=m version=a stage=2 share=5% min_requests=1 | serve model=m version=b",
        "limit account=a requests_per_s=1 tokens_per_s=1 burst_s=1"
            + " | limit account=a requests_per_s=2 tokens_per_s=1 burst_s=1",
        "level account=a task=t availability=99% latency_ms=5"
            + " | level account=a task=t availability=98% latency_ms=5",
        "pause model=m version=a | serve model=m version=b",
        "resume model=m version=a stage=2"
            + " | rollout model=m version=a stage=1 share=5% min_requests=1",
        "allow account=a service=s | allow account=a service=s",
      })
  void findsConflictingLines(String first, String second) {
    assertThat(problems(first + COMMENT + "\n" + second + COMMENT)).contains(":1:6008");
  }

  @Test
  void formattedRulesParseBackToEquivalentRules() throws RulesException {
    RuleSet rules = RulesParser.parse(RulesSamples.ALL);
    RuleSet reparsed = RulesParser.parse(RuleText.of(rules));
    assertThat(RuleDiff.between(rules, reparsed).lines()).isEmpty();
    assertThat(reparsed.rules()).hasSize(rules.rules().size());
    assertThat(rules.rules().stream().map(Object::getClass).distinct().count()).isEqualTo(13);
  }

  @Test
  void diffIgnoresFormatting() throws RulesException {
    RuleSet before =
        RulesParser.parse(
            "quality account=* task=t target=95% # Ana: x\nserve model=m version=a # Ana: x\n");
    RuleSet after =
        RulesParser.parse(
            "\nserve   version=b model=m # Ana: x\nquality task=t account=* target=0.95 # Bo: x\n");
    assertThat(RuleDiff.between(before, after).lines())
        .containsExactly(
            "- serve model=m version=a # Ana: x",
            "+ serve model=m version=b # Ana: x",
            "~ quality account=* task=t target=0.95 # Bo: x")
        .inOrder();
  }

  private static String problems(String text) {
    RulesException e = assertThrows(RulesException.class, () -> RulesParser.parse(text));
    return e.problems().stream()
        .map(p -> List.of(p.getLine(), p.getColumn(), p.getCode()))
        .map(p -> p.stream().map(String::valueOf).collect(Collectors.joining(":")))
        .collect(Collectors.joining(","));
  }
}
