package org.currantslip.node.admin;

import org.currantslip.core.common.ResultCode;

/** Thrown when an administration request is refused. */
public final class AdminException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  private AdminException(ResultCode code, String detail) {
    super(detail, null, false, false);
    this.code = code;
  }

  /** Returns an exception with this result code and explanation. */
  public static AdminException of(ResultCode code, String detail) {
    return new AdminException(code, detail);
  }

  /** Returns the result code. */
  public ResultCode code() {
    return code;
  }

  /** Returns the explanation of the refusal. */
  public String detail() {
    String text = getMessage();
    return text == null ? "" : text;
  }
}
