package org.currantslip.node.caller;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Supplier;
import org.currantslip.adapter.caller.CallerProtocol;
import org.currantslip.core.common.ByteBudget;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.ResponseHead;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/** Adds a result code to errors that Jetty raises itself, such as oversized headers. */
final class ProtocolErrorHandler extends ErrorHandler {
  private final CallerProtocol protocol;
  private final Supplier<String> requestIds;

  private ProtocolErrorHandler(CallerProtocol protocol, Supplier<String> requestIds) {
    this.protocol = protocol;
    this.requestIds = requestIds;
  }

  static ProtocolErrorHandler create(CallerProtocol protocol, Supplier<String> requestIds) {
    return new ProtocolErrorHandler(protocol, requestIds);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    ResultCode code = resultCodeOf(response.getStatus());
    ResponseHead head =
        new ResponseHead(
            requestIds.get(),
            code,
            protocol.executionStateOfRefusal(request.getHeaders()),
            code.httpStatus(),
            "application/json",
            false,
            "",
            "",
            0,
            List.of(),
            0,
            "",
            false,
            false,
            HttpStatus.getMessage(response.getStatus()));
    ByteBudget.Share unlimited = ByteBudget.of(0, Long.MAX_VALUE).open();
    ResponseSink.create(
            protocol,
            response,
            callback,
            Long.MAX_VALUE,
            unlimited,
            () -> false,
            rule -> {},
            () -> {})
        .finish(head);
    return true;
  }

  @Override
  public ByteBuffer badMessageError(
      int status, String reason, org.eclipse.jetty.http.HttpFields.Mutable fields) {
    return ByteBuffer.allocate(0);
  }

  private static ResultCode resultCodeOf(int status) {
    return switch (status) {
      case HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, HttpStatus.URI_TOO_LONG_414 ->
          ResultCode.HEADER_TOO_LARGE;
      case HttpStatus.PAYLOAD_TOO_LARGE_413 -> ResultCode.BODY_TOO_LARGE;
      case HttpStatus.NOT_FOUND_404 -> ResultCode.PATH_UNKNOWN;
      case HttpStatus.REQUEST_TIMEOUT_408 -> ResultCode.BODY_MALFORMED;
      default ->
          HttpStatus.isServerError(status) ? ResultCode.INTERNAL : ResultCode.HEADER_MALFORMED;
    };
  }
}
