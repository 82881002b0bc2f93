package org.currantslip.core.rules;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Difference between two rule sets by what they mean, not by how they are written.
 *
 * @param removed rules only in the first set
 * @param added rules only in the second set
 * @param recommented rules in both whose comments differ
 * @param reordered whether rules that are matched in order stand in another order
 */
public record RuleDiff(
    ImmutableList<Rule> removed,
    ImmutableList<Rule> added,
    ImmutableList<Rule> recommented,
    boolean reordered) {

  /** Returns what has to change to get from one rule set to the other. */
  public static RuleDiff between(RuleSet from, RuleSet to) {
    ImmutableMap<String, Rule> before = byText(from);
    ImmutableMap<String, Rule> after = byText(to);
    ImmutableList<Rule> removed = missing(before, after).collect(ImmutableList.toImmutableList());
    ImmutableList<Rule> added = missing(after, before).collect(ImmutableList.toImmutableList());
    ImmutableList<Rule> recommented =
        after.entrySet().stream()
            .filter(e -> commentDiffers(before.get(e.getKey()), e.getValue()))
            .map(e -> e.getValue())
            .collect(ImmutableList.toImmutableList());
    List<String> kept = before.keySet().stream().filter(after::containsKey).toList();
    List<String> keptAfter = after.keySet().stream().filter(before::containsKey).toList();
    return new RuleDiff(removed, added, recommented, !kept.equals(keptAfter));
  }

  /** Returns whether both sets mean the same and name the same askers. */
  public boolean isEmpty() {
    return removed.isEmpty() && added.isEmpty() && recommented.isEmpty() && !reordered;
  }

  /** Returns the difference as lines that start with {@code -}, {@code +} or {@code ~}. */
  public ImmutableList<String> lines() {
    return Stream.of(
            removed.stream().map(r -> "- " + full(r)),
            added.stream().map(r -> "+ " + full(r)),
            recommented.stream().map(r -> "~ " + full(r)),
            reordered ? Stream.of("~ order of lines") : Stream.<String>empty())
        .flatMap(s -> s)
        .collect(ImmutableList.toImmutableList());
  }

  private static String full(Rule rule) {
    return RuleText.of(rule) + " " + RuleText.comment(rule);
  }

  private static boolean commentDiffers(
      @org.jspecify.annotations.Nullable Rule before, Rule after) {
    return Optional.ofNullable(before)
        .filter(b -> !RuleText.comment(b).equals(RuleText.comment(after)))
        .isPresent();
  }

  private static Stream<Rule> missing(
      ImmutableMap<String, Rule> from, ImmutableMap<String, Rule> in) {
    return from.entrySet().stream().filter(e -> !in.containsKey(e.getKey())).map(e -> e.getValue());
  }

  private static ImmutableMap<String, Rule> byText(RuleSet rules) {
    return rules.rules().stream()
        .collect(ImmutableMap.toImmutableMap(RuleText::of, r -> r, (a, b) -> a));
  }
}
