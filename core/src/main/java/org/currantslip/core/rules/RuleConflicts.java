package org.currantslip.core.rules;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.currantslip.core.common.ResultCode;

/** Detects rules that contradict each other. */
final class RuleConflicts {
  private RuleConflicts() {}

  static void find(List<Rule> rules, ProblemList problems) {
    findDuplicates(rules, problems);
    findUsesOfWithdrawnVersions(rules, problems);
    findInvalidStages(rules, problems);
    findUndefinedStages(rules, problems);
  }

  private static void findDuplicates(List<Rule> rules, ProblemList problems) {
    Map<String, Rule> firstByKey = new HashMap<>();
    for (Rule rule : rules) {
      Rule earlier = firstByKey.putIfAbsent(conflictKey(rule), rule);
      if (earlier != null) {
        addConflict(rule, "duplicates or contradicts line " + earlier.origin().line(), problems);
      }
    }
  }

  /** Returns a key of what the rule governs; two rules with the same key conflict. */
  private static String conflictKey(Rule rule) {
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

  private static void findUsesOfWithdrawnVersions(List<Rule> rules, ProblemList problems) {
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
        set.withdrawRule(model, version)
            .ifPresent(
                withdrawal ->
                    addConflict(
                        rule,
                        "uses a version withdrawn in line " + withdrawal.origin().line(),
                        problems));
      }
    }
  }

  private static void findInvalidStages(List<Rule> rules, ProblemList problems) {
    RuleSet set = RuleSet.of(rules);
    Map<String, List<Rule.RolloutStage>> byVersion =
        set.ofKind(Rule.RolloutStage.class)
            .collect(
                Collectors.groupingBy(
                    r -> key(r.model(), r.version()), LinkedHashMap::new, Collectors.toList()));
    for (List<Rule.RolloutStage> versionStages : byVersion.values()) {
      List<Rule.RolloutStage> stages =
          set.stages(versionStages.get(0).model(), versionStages.get(0).version());
      int expected = 1;
      double share = 0;
      for (Rule.RolloutStage stage : stages) {
        if (stage.stage() > expected) {
          addConflict(stage, "stage " + expected + " is missing before this one", problems);
        }
        if (stage.share() < share) {
          addConflict(stage, "share is below that of the previous stage", problems);
        }
        expected = stage.stage() + 1;
        share = stage.share();
      }
    }
  }

  private static void findUndefinedStages(List<Rule> rules, ProblemList problems) {
    RuleSet set = RuleSet.of(rules);
    set.ofKind(Rule.PauseRollout.class)
        .filter(r -> set.stages(r.model(), r.version()).isEmpty())
        .forEach(r -> addConflict(r, "this version has no rollout", problems));
    set.ofKind(Rule.ResumeRollout.class)
        .filter(
            r -> set.stages(r.model(), r.version()).stream().noneMatch(s -> s.stage() == r.stage()))
        .forEach(r -> addConflict(r, "the rollout has no such stage", problems));
  }

  private static void addConflict(Rule rule, String message, ProblemList problems) {
    problems.add(rule.origin().line(), 1, ResultCode.RULE_CONFLICT, message);
  }
}
