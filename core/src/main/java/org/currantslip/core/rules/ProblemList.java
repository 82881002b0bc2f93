package org.currantslip.core.rules;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.RuleProblem;

/** Collects the problems found in one rules file. */
final class ProblemList {
  private final List<RuleProblem> problems = new ArrayList<>();

  void add(int line, int column, ResultCode code, String message) {
    problems.add(
        RuleProblem.newBuilder()
            .setLine(line)
            .setColumn(column)
            .setCode(code.number())
            .setMessage(message)
            .build());
  }

  boolean isEmpty() {
    return problems.isEmpty();
  }

  int size() {
    return problems.size();
  }

  ImmutableList<RuleProblem> sortedProblems() {
    return problems.stream()
        .sorted(
            Comparator.comparingInt(RuleProblem::getLine)
                .thenComparingInt(RuleProblem::getColumn)
                .thenComparingInt(RuleProblem::getCode))
        .collect(ImmutableList.toImmutableList());
  }
}
