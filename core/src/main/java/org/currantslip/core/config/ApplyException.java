package org.currantslip.core.config;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.RuleProblem;

/** A change of configuration that was not accepted, or of which that is not known. */
public final class ApplyException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;
  private final transient ImmutableList<RuleProblem> problems;

  private ApplyException(ResultCode code, String detail, ImmutableList<RuleProblem> problems) {
    super(detail, null, false, false);
    this.code = code;
    this.problems = problems;
  }

  /** Returns a failure with a numbered reason. */
  public static ApplyException of(ResultCode code, String detail) {
    return new ApplyException(code, detail, ImmutableList.of());
  }

  /** Returns a failure because of problems in the rules. */
  public static ApplyException invalid(List<RuleProblem> problems) {
    return new ApplyException(
        ResultCode.RULES_INVALID,
        problems.size() + " problems in the rules",
        ImmutableList.copyOf(problems));
  }

  /** Returns the numbered reason. */
  public ResultCode code() {
    return code;
  }

  /** Returns the reason in words. */
  public String detail() {
    String text = getMessage();
    return text == null ? "" : text;
  }

  /** Returns the problems of the rules, if there are any. */
  public ImmutableList<RuleProblem> problems() {
    return problems;
  }
}
