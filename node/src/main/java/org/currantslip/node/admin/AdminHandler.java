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
  /** Prefix of all paths. */
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

  /** Returns a handler that lets these operators use these operations. */
  public static AdminHandler create(AdminOperations operations, OperatorTokens tokens) {
    return new AdminHandler(operations, tokens);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    answer(request)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                send(response, callback, status(reply), reply);
              } else {
                AdminError error = error(Throwables.getRootCause(failure));
                int status =
                    ResultCode.ofNumber(error.getCode()).map(ResultCode::httpStatus).orElse(500);
                send(response, callback, status, error);
              }
            });
    return true;
  }

  private CompletableFuture<? extends Message> answer(Request request) {
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
                () -> AdminException.of(ResultCode.ADMIN_TOKEN_WRONG, "no operator's token"));
    String path = Request.getPathInContext(request);
    if (!path.startsWith(PREFIX)) {
      throw unknownPath(path);
    }
    List<String> parts = List.of(path.substring(PREFIX.length()).split("/", -1));
    String name = parts.size() > 1 ? parts.get(1) : "";
    Fields query = Request.extractQueryParameters(request, StandardCharsets.UTF_8);
    String route = request.getMethod() + " " + parts.get(0) + (parts.size() == 2 ? "/" : "");
    return switch (route) {
      case "GET config" -> operations.config(number(query, "version"));
      case "POST apply" ->
          body(request, ApplyRequest.newBuilder())
              .thenCompose(b -> operations.apply(operator, b.build()));
      case "GET status" -> operations.status();
      case "GET why/" -> operations.why(name);
      case "GET usage" -> operations.usage(text(query, "account"), number(query, "since_ms"));
      case "GET burn" -> operations.burn();
      case "GET audit" -> operations.audit(text(query, "after"));
      case "POST drain/" ->
          body(request, DrainRequest.newBuilder())
              .thenCompose(b -> operations.drain(operator, b.getAskedBy(), name));
      default -> throw unknownPath(request.getMethod() + " " + path);
    };
  }

  private static AdminException unknownPath(String path) {
    return AdminException.of(ResultCode.NOT_FOUND, "no operation " + path);
  }

  private static <B extends Message.Builder> CompletableFuture<B> body(Request request, B builder) {
    if (request.getLength() > MAX_BODY_BYTES) {
      throw AdminException.of(ResultCode.BODY_TOO_LARGE, "the body is too large");
    }
    return Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES)
        .exceptionally(
            failure -> {
              throw AdminException.of(ResultCode.BODY_TOO_LARGE, "the body cannot be read");
            })
        .thenApply(
            bytes -> {
              try {
                JsonFormat.parser().merge(new String(bytes, StandardCharsets.UTF_8), builder);
                return builder;
              } catch (InvalidProtocolBufferException e) {
                throw AdminException.of(
                    ResultCode.ADMIN_BODY_MALFORMED, "the body is not the expected JSON");
              }
            });
  }

  private static String text(Fields query, String key) {
    return Optional.ofNullable(query.getValue(key)).orElse("");
  }

  private static long number(Fields query, String key) {
    String text = text(query, key);
    try {
      return text.isEmpty() ? 0 : Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw AdminException.of(ResultCode.ADMIN_BODY_MALFORMED, key + " must be a whole number");
    }
  }

  private static int status(Message reply) {
    return reply instanceof ApplyReply apply && apply.getMissingOnCount() > 0
        ? ResultCode.NOT_IN_FORCE_EVERYWHERE.httpStatus()
        : ResultCode.OK.httpStatus();
  }

  private static AdminError error(Throwable failure) {
    if (failure instanceof ApplyException e) {
      return error(e.code(), e.detail()).addAllProblem(e.problems()).build();
    }
    if (failure instanceof AdminException e) {
      return error(e.code(), e.detail()).build();
    }
    return error(ResultCode.INTERNAL, "the node could not answer").build();
  }

  private static AdminError.Builder error(ResultCode code, String detail) {
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
