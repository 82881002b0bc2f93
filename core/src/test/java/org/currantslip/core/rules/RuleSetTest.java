package org.currantslip.core.rules;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RuleSetTest {
  private static final Rule.Origin ORIGIN = new Rule.Origin(1, "line", "operator");

  private static final RuleSet RULES =
      RuleSet.of(
          List.of(
              new Rule.AllowModel(ORIGIN, "vestry", "quote", "small", "v1"),
              new Rule.AllowModel(ORIGIN, "gallery", Rule.ANY, "large", Rule.ANY),
              new Rule.AllowService(ORIGIN, "vestry", "ledger")));

  @ParameterizedTest
  @CsvSource({
    "vestry, quote, small, v1, true",
    "gallery, quote, small, v1, false",
    "vestry, letter, small, v1, false",
    "vestry, quote, large, v1, false",
    "vestry, quote, small, v2, false",
    "gallery, letter, large, v9, true",
    "vestry, letter, large, v9, false",
  })
  void modelUseNeedsRuleThatMatchesEveryField(
      String account, String task, String model, String version, boolean allowed) {
    assertThat(RULES.allowModelRule(account, task, model, version).isPresent()).isEqualTo(allowed);
  }

  @ParameterizedTest
  @CsvSource({"vestry, ledger, true", "gallery, ledger, false", "vestry, archive, false"})
  void serviceUseNeedsMatchingRule(String account, String service, boolean allowed) {
    assertThat(RULES.allowServiceRule(account, service).isPresent()).isEqualTo(allowed);
  }
}
