package org.currantslip.core.rules;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Collectors;
import org.currantslip.schema.RuleProblem;

/** Thrown for an invalid rules file; reports all of its problems. */
public final class RulesException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient ImmutableList<RuleProblem> problems;

  private RulesException(ImmutableList<RuleProblem> problems) {
    super(problems.stream().map(RulesException::describe).collect(Collectors.joining("\n")));
    this.problems = problems;
  }

  /** Returns an exception for the given problems. */
  public static RulesException of(List<RuleProblem> problems) {
    return new RulesException(ImmutableList.copyOf(problems));
  }

  /** Returns the problems ordered by line and column. */
  public ImmutableList<RuleProblem> problems() {
    return problems;
  }

  /** Formats a problem as one line of text. */
  public static String describe(RuleProblem problem) {
    return "%d:%d: %d %s"
        .formatted(problem.getLine(), problem.getColumn(), problem.getCode(), problem.getMessage());
  }
}
