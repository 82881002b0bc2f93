package org.currantslip.cli;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.AdminError;

/** Failure of a command, with the result code and detail lines to report to the operator. */
final class CliException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;
  private final transient ImmutableList<String> lines;

  private CliException(ResultCode code, String detail, ImmutableList<String> lines) {
    super(detail, null, false, false);
    this.code = code;
    this.lines = lines;
  }

  static CliException of(ResultCode code, String detail) {
    return new CliException(code, detail, ImmutableList.of());
  }

  static CliException of(ResultCode code, String detail, List<String> lines) {
    return new CliException(code, detail, ImmutableList.copyOf(lines));
  }

  ResultCode code() {
    return code;
  }

  ImmutableList<String> lines() {
    return lines;
  }

  AdminError toError() {
    String detail = getMessage() == null ? "" : getMessage();
    return AdminError.newBuilder()
        .setCode(code.number())
        .setName(code.name())
        .setDetail(lines.isEmpty() ? detail : detail + "\n" + String.join("\n", lines))
        .build();
  }
}
