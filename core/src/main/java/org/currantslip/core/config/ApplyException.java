package org.currantslip.core.config;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.RuleProblem;

/** A configuration change that was rejected, or whose outcome is unknown. */
public final class ApplyException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;
  private final transient ImmutableList<RuleProblem> problems;

  private ApplyException(ResultCode code, String detail, ImmutableList<RuleProblem> problems) {
    super(detail, null, false, false);
    this.code = code;
    this.problems = problems;
  }

  /** Returns an exception with a result code and a message. */
  public static ApplyException of(ResultCode code, String detail) {
    return new ApplyException(code, detail, ImmutableList.of());
  }

  /** Returns an exception for invalid rules. */
  public static ApplyException invalid(List<RuleProblem> problems) {
    return new ApplyException(
        ResultCode.RULES_INVALID,
        problems.size() + " problems in the rules",
        ImmutableList.copyOf(problems));
  }

  /** Returns the result code. */
  public ResultCode code() {
    return code;
  }

  /** Returns the message; empty if there is none. */
  public String detail() {
    String message = getMessage();
    return message == null ? "" : message;
  }

  /** Returns the problems found in the rules; empty if there are none. */
  public ImmutableList<RuleProblem> problems() {
    return problems;
  }
}
