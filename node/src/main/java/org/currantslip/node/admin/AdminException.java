package org.currantslip.node.admin;

import org.currantslip.core.common.ResultCode;

/** An administration request that is refused. */
public final class AdminException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  private AdminException(ResultCode code, String detail) {
    super(detail, null, false, false);
    this.code = code;
  }

  /** Returns a refusal with a numbered reason. */
  public static AdminException of(ResultCode code, String detail) {
    return new AdminException(code, detail);
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
}
