package org.currantslip.core.rules;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.currantslip.core.common.ResultCode;

/** Finds lines that contradict each other. */
final class RuleConflicts {
  private RuleConflicts() {}

  static void find(List<Rule> rules, ProblemList problems) {
    findDuplicates(rules, problems);
    findWithdrawnInUse(rules, problems);
    findBrokenStages(rules, problems);
    findStagesNamedButMissing(rules, problems);
  }

  private static void findDuplicates(List<Rule> rules, ProblemList problems) {
    Map<String, Rule> first = new HashMap<>();
    for (Rule rule : rules) {
      Rule earlier = first.putIfAbsent(subject(rule), rule);
      if (earlier != null) {
        report(rule, "says the same as, or contradicts, line " + earlier.origin().line(), problems);
      }
    }
  }

  /** What a rule is about; two rules with one subject cannot both hold. */
  private static String subject(Rule rule) {
    if (rule instanceof Rule.Serve r) {
      return key("serve", r.model());
    } else if (rule instanceof Rule.RolloutStage r) {
      return key("rollout", r.model(), r.version(), r.stage());
    } else if (rule instanceof Rule.ResumeRollout r) {
      return key("hold", r.model(), r.version());
    } else if (rule instanceof Rule.PauseRollout r) {
      return key("hold", r.model(), r.version());
    } else if (rule instanceof Rule.Tier r) {
      return key("tier", r.account(), r.task(), r.order());
    } else if (rule instanceof Rule.Price r) {
      return key("price", r.model(), r.version());
    } else if (rule instanceof Rule.QualityTarget r) {
      return key("quality", r.account(), r.task());
    } else if (rule instanceof Rule.Limit r) {
      return key("limit", r.account());
    } else if (rule instanceof Rule.ServiceLevel r) {
      return key("level", r.account(), r.task());
    }
    return RuleText.of(rule);
  }

  private static String key(Object... parts) {
    return List.of(parts).stream().map(String::valueOf).collect(Collectors.joining(" "));
  }

  private static void findWithdrawnInUse(List<Rule> rules, ProblemList problems) {
    RuleSet set = RuleSet.of(rules);
    for (Rule rule : rules) {
      String model = "";
      String version = "";
      if (rule instanceof Rule.Serve r) {
        model = r.model();
        version = r.version();
      } else if (rule instanceof Rule.RolloutStage r) {
        model = r.model();
        version = r.version();
      } else if (rule instanceof Rule.ResumeRollout r) {
        model = r.model();
        version = r.version();
      }
      if (!model.isEmpty()) {
        set.withdrawn(model, version)
            .ifPresent(
                w ->
                    report(
                        rule, "uses a version withdrawn in line " + w.origin().line(), problems));
      }
    }
  }

  private static void findBrokenStages(List<Rule> rules, ProblemList problems) {
    RuleSet set = RuleSet.of(rules);
    Map<String, List<Rule.RolloutStage>> byVersion =
        set.ofKind(Rule.RolloutStage.class)
            .collect(
                Collectors.groupingBy(
                    r -> key(r.model(), r.version()), LinkedHashMap::new, Collectors.toList()));
    for (List<Rule.RolloutStage> some : byVersion.values()) {
      List<Rule.RolloutStage> stages = set.stages(some.get(0).model(), some.get(0).version());
      int expected = 1;
      double share = 0;
      for (Rule.RolloutStage stage : stages) {
        if (stage.stage() > expected) {
          report(stage, "stage " + expected + " is missing before this one", problems);
        }
        if (stage.share() < share) {
          report(stage, "its share is below that of the stage before", problems);
        }
        expected = stage.stage() + 1;
        share = stage.share();
      }
    }
  }

  private static void findStagesNamedButMissing(List<Rule> rules, ProblemList problems) {
    RuleSet set = RuleSet.of(rules);
    set.ofKind(Rule.PauseRollout.class)
        .filter(r -> set.stages(r.model(), r.version()).isEmpty())
        .forEach(r -> report(r, "there is no roll-out of this version", problems));
    set.ofKind(Rule.ResumeRollout.class)
        .filter(
            r -> set.stages(r.model(), r.version()).stream().noneMatch(s -> s.stage() == r.stage()))
        .forEach(r -> report(r, "the roll-out has no such stage", problems));
  }

  private static void report(Rule rule, String message, ProblemList problems) {
    problems.add(rule.origin().line(), 1, ResultCode.RULE_CONFLICT, message);
  }
}
