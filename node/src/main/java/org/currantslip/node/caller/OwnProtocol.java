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

/** This product's own interface to callers. */
final class OwnProtocol implements CallerProtocol {
  private static final long MS_PER_S = 1_000;

  private final AccountTokens tokens;
  private final RequestParser parser;

  private OwnProtocol(AccountTokens tokens, RequestParser parser) {
    this.tokens = tokens;
    this.parser = parser;
  }

  static OwnProtocol create(CallerOptions options, AccountTokens tokens, Clock clock) {
    return new OwnProtocol(
        tokens, RequestParser.create(clock, options.deadlineMs(), options.isService()));
  }

  @Override
  public PendingRequest read(RequestHead head) {
    String path = head.path();
    boolean chat = path.equals(RequestParser.CHAT_PATH);
    if (!chat && !path.startsWith(RequestParser.SERVICES_PREFIX)) {
      ResultCode code =
          path.equals(EntryHandler.PATH) ? ResultCode.METHOD_NOT_ALLOWED : ResultCode.PATH_UNKNOWN;
      throw RefusalException.notRun(code, "no such path or method");
    }
    String account =
        tokens
            .accountOf(head.fields().get(HttpHeader.AUTHORIZATION))
            .orElseThrow(
                () -> RefusalException.notRun(ResultCode.TOKEN_WRONG, "wrong or missing token"));
    if (chat && !head.method().equals("POST")) {
      throw RefusalException.notRun(ResultCode.METHOD_NOT_ALLOWED, "this path takes POST");
    }
    RequestParser.Headers headers = parser.headers(account, head.fields());
    if (chat) {
      return (id, body) -> parser.chat(id, account, headers, body);
    }
    String type = RequestParser.contentType(head.fields());
    return (id, body) ->
        parser.service(id, account, headers, head.method(), head.pathQuery(), type, body);
  }

  @Override
  public Ran executionStateOfRefusal(HttpFields fields) {
    return RequestParser.ranWhenRefused(fields);
  }

  @Override
  public void writeHead(ResponseHead head, HttpFields.Mutable fields) {
    putIfSet(fields, HttpHeader.CONTENT_TYPE.asString(), head.contentType());
    if (head.stream()) {
      fields.put(HttpHeader.CACHE_CONTROL, "no-store");
    }
    fields.put(RequestHeaders.REQUEST_ID, head.requestId());
    fields.put(RequestHeaders.CODE, String.valueOf(head.code().number()));
    fields.put(RequestHeaders.RAN, head.ran().text());
    fields.put(RequestHeaders.CONFIG_VERSION, String.valueOf(head.configVersion()));
    fields.put(RequestHeaders.RULE_LINES, Joiner.on(',').join(head.ruleLines()));
    putIfSet(fields, RequestHeaders.MODEL, head.model());
    putIfSet(fields, RequestHeaders.VERSION, head.version());
    putIfSet(fields, RequestHeaders.SESSION_TOKEN, head.sessionToken());
    putIfSet(fields, RequestHeaders.SESSION_MOVED, head.sessionMoved() ? "true" : "");
    putIfSet(fields, RequestHeaders.REPLAYED, head.replayed() ? "true" : "");
    if (head.httpStatus() == HttpStatus.UNAUTHORIZED_401) {
      fields.put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
    }
    if (head.retryAfterMs() > 0) {
      long seconds = LongMath.divide(head.retryAfterMs(), MS_PER_S, RoundingMode.CEILING);
      fields.put(HttpHeader.RETRY_AFTER, String.valueOf(seconds));
      fields.put(RequestHeaders.RETRY_AFTER_MS, String.valueOf(head.retryAfterMs()));
    }
  }

  private static void putIfSet(HttpFields.Mutable fields, String name, String value) {
    if (!value.isEmpty()) {
      fields.put(name, value);
    }
  }

  @Override
  public ByteString encodeChunk(ByteString unit) {
    return frame("", unit);
  }

  @Override
  public ByteString refusalBody(ResponseHead end) {
    return ByteString.copyFrom(AnswerJson.refusal(end));
  }

  @Override
  public Optional<ByteString> streamEnd(ResponseHead end) {
    ByteString last = frame("currantslip", ByteString.copyFrom(AnswerJson.streamEnd(end)));
    ByteString done =
        end.code() == ResultCode.OK
            ? frame("", ByteString.copyFromUtf8("[DONE]"))
            : ByteString.EMPTY;
    return Optional.of(last.concat(done));
  }

  private static ByteString frame(String name, ByteString payload) {
    String prefix = name.isEmpty() ? "" : "event: " + name + "\n";
    String data = "data: " + payload.toStringUtf8().replace("\n", "\ndata: ");
    return ByteString.copyFrom(prefix + data + "\n\n", StandardCharsets.UTF_8);
  }
}
