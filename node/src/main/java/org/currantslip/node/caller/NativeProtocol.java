package org.currantslip.node.caller;

import com.google.common.base.Joiner;
import com.google.common.math.LongMath;
import com.google.protobuf.ByteString;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.currantslip.adapter.caller.CallerProtocol;
import org.currantslip.adapter.caller.PendingRequest;
import org.currantslip.adapter.caller.RequestHead;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.ResponseHead;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** The native HTTP API for callers. */
final class NativeProtocol implements CallerProtocol {
  private static final long MS_PER_S = 1_000;

  private final AccountTokens tokens;
  private final RequestParser parser;

  private NativeProtocol(AccountTokens tokens, RequestParser parser) {
    this.tokens = tokens;
    this.parser = parser;
  }

  static NativeProtocol create(CallerOptions options, AccountTokens tokens, Clock clock) {
    return new NativeProtocol(
        tokens, RequestParser.create(clock, options.deadlineMs(), options.isService()));
  }

  @Override
  public PendingRequest read(RequestHead head) {
    String path = head.path();
    boolean isChat = path.equals(RequestParser.CHAT_PATH);
    if (!isChat && !path.startsWith(RequestParser.SERVICES_PREFIX)) {
      ResultCode code =
          path.equals(EntryHandler.PATH) ? ResultCode.METHOD_NOT_ALLOWED : ResultCode.PATH_UNKNOWN;
      throw RefusalException.notRun(code, "unknown path or method");
    }
    String account =
        tokens
            .accountOf(head.fields().get(HttpHeader.AUTHORIZATION))
            .orElseThrow(
                () -> RefusalException.notRun(ResultCode.TOKEN_WRONG, "invalid or missing token"));
    if (isChat && !head.method().equals("POST")) {
      throw RefusalException.notRun(ResultCode.METHOD_NOT_ALLOWED, "this path requires POST");
    }
    RequestParser.Headers headers = parser.parseHeaders(account, head.fields());
    if (isChat) {
      return (id, body) -> parser.parseChat(id, account, headers, body);
    }
    String contentType = RequestParser.contentType(head.fields());
    return (id, body) ->
        parser.parseService(
            id, account, headers, head.method(), head.pathQuery(), contentType, body);
  }

  @Override
  public Ran executionStateOfRefusal(HttpFields fields) {
    return RequestParser.executionStateOfRefusal(fields);
  }

  @Override
  public void writeHead(ResponseHead head, HttpFields.Mutable fields) {
    putIfNotEmpty(fields, HttpHeader.CONTENT_TYPE.asString(), head.contentType());
    if (head.stream()) {
      fields.put(HttpHeader.CACHE_CONTROL, "no-store");
    }
    fields.put(RequestHeaders.REQUEST_ID, head.requestId());
    fields.put(RequestHeaders.CODE, String.valueOf(head.code().number()));
    fields.put(RequestHeaders.RAN, head.ran().text());
    fields.put(RequestHeaders.CONFIG_VERSION, String.valueOf(head.configVersion()));
    fields.put(RequestHeaders.RULE_LINES, Joiner.on(',').join(head.ruleLines()));
    putIfNotEmpty(fields, RequestHeaders.MODEL, head.model());
    putIfNotEmpty(fields, RequestHeaders.VERSION, head.version());
    putIfNotEmpty(fields, RequestHeaders.SESSION_TOKEN, head.sessionToken());
    putIfNotEmpty(fields, RequestHeaders.SESSION_MOVED, head.sessionMoved() ? "true" : "");
    putIfNotEmpty(fields, RequestHeaders.REPLAYED, head.replayed() ? "true" : "");
    if (head.httpStatus() == HttpStatus.UNAUTHORIZED_401) {
      fields.put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
    }
    if (head.retryAfterMs() > 0) {
      long seconds = LongMath.divide(head.retryAfterMs(), MS_PER_S, RoundingMode.CEILING);
      fields.put(HttpHeader.RETRY_AFTER, String.valueOf(seconds));
      fields.put(RequestHeaders.RETRY_AFTER_MS, String.valueOf(head.retryAfterMs()));
    }
  }

  private static void putIfNotEmpty(HttpFields.Mutable fields, String name, String value) {
    if (!value.isEmpty()) {
      fields.put(name, value);
    }
  }

  @Override
  public ByteString encodeChunk(ByteString data) {
    return formatEvent("", data);
  }

  @Override
  public ByteString refusalBody(ResponseHead end) {
    return ByteString.copyFrom(ResponseJson.error(end));
  }

  @Override
  public Optional<ByteString> streamEnd(ResponseHead end) {
    ByteString finalEvent =
        formatEvent("currantslip", ByteString.copyFrom(ResponseJson.streamEnd(end)));
    ByteString doneEvent =
        end.code() == ResultCode.OK
            ? formatEvent("", ByteString.copyFromUtf8("[DONE]"))
            : ByteString.EMPTY;
    return Optional.of(finalEvent.concat(doneEvent));
  }

  private static ByteString formatEvent(String name, ByteString payload) {
    String prefix = name.isEmpty() ? "" : "event: " + name + "\n";
    String data = "data: " + payload.toStringUtf8().replace("\n", "\ndata: ");
    return ByteString.copyFrom(prefix + data + "\n\n", StandardCharsets.UTF_8);
  }
}
