package org.currantslip.node.admin;

import com.google.common.base.Throwables;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ApplyException;
import org.currantslip.core.rules.RulesParser;
import org.currantslip.schema.AdminError;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.ApplyRequest;
import org.currantslip.schema.DrainRequest;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Serves the administration API as JSON over HTTP. */
public final class AdminHandler extends Handler.Abstract {
  /** Path prefix of the administration API. */
  public static final String PREFIX = "/admin/v1/";

  private static final int MAX_BODY_BYTES = 2 * RulesParser.MAX_TEXT_BYTES;
  private static final JsonFormat.Printer PRINTER =
      JsonFormat.printer().preservingProtoFieldNames().alwaysPrintFieldsWithNoPresence();

  private final AdminOperations operations;
  private final OperatorTokens tokens;

  private AdminHandler(AdminOperations operations, OperatorTokens tokens) {
    this.operations = operations;
    this.tokens = tokens;
  }

  /** Returns a handler that serves {@code operations} to the holders of these tokens. */
  public static AdminHandler create(AdminOperations operations, OperatorTokens tokens) {
    return new AdminHandler(operations, tokens);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    dispatchAsync(request)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                send(response, callback, httpStatus(reply), reply);
              } else {
                AdminError error = toError(Throwables.getRootCause(failure));
                int status =
                    ResultCode.ofNumber(error.getCode()).map(ResultCode::httpStatus).orElse(500);
                send(response, callback, status, error);
              }
            });
    return true;
  }

  private CompletableFuture<? extends Message> dispatchAsync(Request request) {
    try {
      return dispatch(request);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<? extends Message> dispatch(Request request) {
    String operator =
        tokens
            .operator(request.getHeaders().get(HttpHeader.AUTHORIZATION))
            .orElseThrow(
                () ->
                    AdminException.of(
                        ResultCode.ADMIN_TOKEN_WRONG, "missing or unknown operator token"));
    String path = Request.getPathInContext(request);
    if (!path.startsWith(PREFIX)) {
      throw unknownPath(path);
    }
    List<String> pathSegments = List.of(path.substring(PREFIX.length()).split("/", -1));
    String pathArgument = pathSegments.size() > 1 ? pathSegments.get(1) : "";
    Fields query = Request.extractQueryParameters(request, StandardCharsets.UTF_8);
    String route =
        request.getMethod() + " " + pathSegments.get(0) + (pathSegments.size() == 2 ? "/" : "");
    return switch (route) {
      case "GET config" -> operations.config(queryNumber(query, "version"));
      case "POST apply" ->
          readBody(request, ApplyRequest.newBuilder())
              .thenCompose(builder -> operations.apply(operator, builder.build()));
      case "GET status" -> operations.status();
      case "GET why/" -> operations.explainDecision(pathArgument);
      case "GET usage" ->
          operations.usage(queryText(query, "account"), queryNumber(query, "since_ms"));
      case "GET burn" -> operations.serviceLevels();
      case "GET audit" -> operations.audit(queryText(query, "after"));
      case "POST drain/" ->
          readBody(request, DrainRequest.newBuilder())
              .thenCompose(
                  builder -> operations.drain(operator, builder.getAskedBy(), pathArgument));
      default -> throw unknownPath(request.getMethod() + " " + path);
    };
  }

  private static AdminException unknownPath(String path) {
    return AdminException.of(ResultCode.NOT_FOUND, "unknown operation " + path);
  }

  private static <B extends Message.Builder> CompletableFuture<B> readBody(
      Request request, B builder) {
    if (request.getLength() > MAX_BODY_BYTES) {
      throw AdminException.of(ResultCode.BODY_TOO_LARGE, "request body is too large");
    }
    return Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES)
        .exceptionally(
            failure -> {
              throw AdminException.of(ResultCode.BODY_TOO_LARGE, "request body could not be read");
            })
        .thenApply(
            bytes -> {
              try {
                JsonFormat.parser().merge(new String(bytes, StandardCharsets.UTF_8), builder);
                return builder;
              } catch (InvalidProtocolBufferException e) {
                throw AdminException.of(
                    ResultCode.ADMIN_BODY_MALFORMED,
                    "request body is not valid JSON for this operation");
              }
            });
  }

  private static String queryText(Fields query, String key) {
    return Optional.ofNullable(query.getValue(key)).orElse("");
  }

  private static long queryNumber(Fields query, String key) {
    String value = queryText(query, key);
    try {
      return value.isEmpty() ? 0 : Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw AdminException.of(ResultCode.ADMIN_BODY_MALFORMED, key + " must be an integer");
    }
  }

  private static int httpStatus(Message reply) {
    return reply instanceof ApplyReply apply && apply.getMissingOnCount() > 0
        ? ResultCode.NOT_IN_FORCE_EVERYWHERE.httpStatus()
        : ResultCode.OK.httpStatus();
  }

  private static AdminError toError(Throwable failure) {
    if (failure instanceof ApplyException e) {
      return errorBuilder(e.code(), e.detail()).addAllProblem(e.problems()).build();
    }
    if (failure instanceof AdminException e) {
      return errorBuilder(e.code(), e.detail()).build();
    }
    return errorBuilder(ResultCode.INTERNAL, "internal error").build();
  }

  private static AdminError.Builder errorBuilder(ResultCode code, String detail) {
    return AdminError.newBuilder().setCode(code.number()).setName(code.name()).setDetail(detail);
  }

  private static void send(Response response, Callback callback, int status, Message reply) {
    try {
      final String json = PRINTER.print(reply);
      response.setStatus(status);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
      Content.Sink.write(response, true, json + "\n", callback);
    } catch (InvalidProtocolBufferException e) {
      callback.failed(e);
    }
  }
}
