package org.currantslip.core.rules;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Semantic difference between two rule sets, independent of formatting.
 *
 * @param removed rules only in the first set
 * @param added rules only in the second set
 * @param commentChanged rules in both sets whose comments differ
 * @param reordered whether the rules common to both sets are in a different order
 */
public record RuleDiff(
    ImmutableList<Rule> removed,
    ImmutableList<Rule> added,
    ImmutableList<Rule> commentChanged,
    boolean reordered) {

  /** Returns the changes that turn the first rule set into the second. */
  public static RuleDiff between(RuleSet from, RuleSet to) {
    ImmutableMap<String, Rule> before = byText(from);
    ImmutableMap<String, Rule> after = byText(to);
    ImmutableList<Rule> removed = notIn(before, after).collect(ImmutableList.toImmutableList());
    ImmutableList<Rule> added = notIn(after, before).collect(ImmutableList.toImmutableList());
    ImmutableList<Rule> recommented =
        after.entrySet().stream()
            .filter(e -> commentDiffers(before.get(e.getKey()), e.getValue()))
            .map(e -> e.getValue())
            .collect(ImmutableList.toImmutableList());
    List<String> commonBefore = before.keySet().stream().filter(after::containsKey).toList();
    List<String> commonAfter = after.keySet().stream().filter(before::containsKey).toList();
    return new RuleDiff(removed, added, recommented, !commonBefore.equals(commonAfter));
  }

  /** Returns whether both sets are equivalent, including their comments. */
  public boolean isEmpty() {
    return removed.isEmpty() && added.isEmpty() && commentChanged.isEmpty() && !reordered;
  }

  /** Returns the difference as lines starting with {@code -}, {@code +} or {@code ~}. */
  public ImmutableList<String> lines() {
    return Stream.of(
            removed.stream().map(r -> "- " + textWithComment(r)),
            added.stream().map(r -> "+ " + textWithComment(r)),
            commentChanged.stream().map(r -> "~ " + textWithComment(r)),
            reordered ? Stream.of("~ order of lines") : Stream.<String>empty())
        .flatMap(s -> s)
        .collect(ImmutableList.toImmutableList());
  }

  private static String textWithComment(Rule rule) {
    return RuleText.of(rule) + " " + RuleText.comment(rule);
  }

  private static boolean commentDiffers(
      @org.jspecify.annotations.Nullable Rule before, Rule after) {
    return Optional.ofNullable(before)
        .filter(b -> !RuleText.comment(b).equals(RuleText.comment(after)))
        .isPresent();
  }

  private static Stream<Rule> notIn(
      ImmutableMap<String, Rule> from, ImmutableMap<String, Rule> in) {
    return from.entrySet().stream().filter(e -> !in.containsKey(e.getKey())).map(e -> e.getValue());
  }

  private static ImmutableMap<String, Rule> byText(RuleSet rules) {
    return rules.rules().stream()
        .collect(ImmutableMap.toImmutableMap(RuleText::of, r -> r, (a, b) -> a));
  }
}
