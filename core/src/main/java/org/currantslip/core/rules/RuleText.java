package org.currantslip.core.rules;

import java.math.BigDecimal;
import java.util.stream.Collectors;

/** Formats rules as text that {@link RulesParser} parses back to equivalent rules. */
public final class RuleText {
  private RuleText() {}

  /** Returns the canonical text of a rule without its comment. */
  public static String of(Rule rule) {
    if (rule instanceof Rule.AllowModel r) {
      return "allow account=%s task=%s model=%s version=%s"
          .formatted(r.account(), r.task(), r.model(), r.version());
    } else if (rule instanceof Rule.AllowService r) {
      return "allow account=%s service=%s".formatted(r.account(), r.service());
    } else if (rule instanceof Rule.Serve r) {
      return "serve model=%s version=%s".formatted(r.model(), r.version());
    } else if (rule instanceof Rule.RolloutStage r) {
      return "rollout model=%s version=%s stage=%d share=%s min_requests=%d"
          .formatted(r.model(), r.version(), r.stage(), formatDecimal(r.share()), r.minRequests());
    } else if (rule instanceof Rule.PauseRollout r) {
      return "pause model=%s version=%s".formatted(r.model(), r.version());
    } else if (rule instanceof Rule.ResumeRollout r) {
      return "resume model=%s version=%s stage=%d".formatted(r.model(), r.version(), r.stage());
    } else if (rule instanceof Rule.Withdraw r) {
      return "withdraw model=%s version=%s".formatted(r.model(), r.version());
    } else if (rule instanceof Rule.AtMostOnce r) {
      return "once account=%s service=%s method=%s path=%s"
          .formatted(r.account(), r.service(), r.method(), r.pathPrefix());
    } else if (rule instanceof Rule.Tier r) {
      return "tier account=%s task=%s model=%s order=%d"
          .formatted(r.account(), r.task(), r.model(), r.order());
    } else if (rule instanceof Rule.Price r) {
      return "price model=%s version=%s prompt_micros_per_ktok=%d completion_micros_per_ktok=%d"
          .formatted(r.model(), r.version(), r.promptMicrosPerKtok(), r.completionMicrosPerKtok());
    } else if (rule instanceof Rule.QualityTarget r) {
      return "quality account=%s task=%s target=%s"
          .formatted(r.account(), r.task(), formatDecimal(r.target()));
    } else if (rule instanceof Rule.Limit r) {
      return "limit account=%s requests_per_s=%s tokens_per_s=%s burst_s=%s"
          .formatted(
              r.account(),
              formatDecimal(r.requestsPerS()),
              formatDecimal(r.tokensPerS()),
              formatDecimal(r.burstS()));
    } else if (rule instanceof Rule.ServiceLevel r) {
      return "level account=%s task=%s availability=%s latency_ms=%d"
          .formatted(r.account(), r.task(), formatDecimal(r.availability()), r.latencyMs());
    }
    throw new IllegalArgumentException("unknown kind of rule: " + rule);
  }

  /** Returns the text of a rule set as a rules file. */
  public static String of(RuleSet rules) {
    return rules.rules().stream()
        .map(r -> of(r) + " " + comment(r) + "\n")
        .collect(Collectors.joining());
  }

  /** Returns the comment of a rule, starting with {@code #}. */
  public static String comment(Rule rule) {
    String text = rule.origin().text();
    int start = text.startsWith("#") ? 0 : text.replace('\t', ' ').indexOf(" #") + 1;
    return text.substring(start).strip();
  }

  private static String formatDecimal(double number) {
    return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
