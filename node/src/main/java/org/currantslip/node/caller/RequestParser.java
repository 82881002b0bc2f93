package org.currantslip.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Strings;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.ledger.LedgerKey;
import org.currantslip.core.request.RouterRequest;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/** Checks the headers and the body of a request. */
final class RequestParser {
  static final String CHAT_PATH = "/v1/chat/completions";
  static final String SERVICES_PREFIX = "/services/";
  private static final String CASCADE_MODEL = "auto";
  private static final String DEFAULT_TASK = "default";
  private static final int DEFAULT_PRIORITY = 5;
  private static final int MAX_PRIORITY = 9;
  private static final long DEFAULT_MAX_TOKENS = 1_024;
  private static final long MOST_MAX_TOKENS = 1 << 20;
  private static final int BYTES_PER_TOKEN = 4;
  private static final int PREFIX_BYTES = 1_024;
  private static final long MAX_DEADLINE_MS = 3_600_000;
  private static final Pattern KEY = Pattern.compile("([0-9]{1,15})-([A-Za-z0-9._-]{1,128})");
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");
  private static final Pattern TOKEN = Pattern.compile("[\\x21-\\x7e]{1,4096}");

  private final ObjectMapper json = new ObjectMapper();
  private final Clock clock;
  private final long defaultDeadlineMs;
  private final Predicate<String> isService;

  private RequestParser(Clock clock, long defaultDeadlineMs, Predicate<String> isService) {
    this.clock = clock;
    this.defaultDeadlineMs = defaultDeadlineMs;
    this.isService = isService;
  }

  static RequestParser create(Clock clock, long defaultDeadlineMs, Predicate<String> isService) {
    return new RequestParser(clock, defaultDeadlineMs, isService);
  }

  /**
   * What the headers of a request say.
   *
   * @param key idempotency key, or null
   * @param firstAttempt whether the key was never sent before
   * @param session session id, or empty
   * @param sessionToken session token, or empty
   * @param task task
   * @param deadlineMs time by which the answer is due
   * @param priority 0 (lowest) to 9
   */
  record Headers(
      @Nullable LedgerKey key,
      boolean firstAttempt,
      String session,
      String sessionToken,
      String task,
      long deadlineMs,
      int priority) {

    /** Returns what may be said of a request that is refused before the ledger was read. */
    Ran ranWhenRefused() {
      return key == null || firstAttempt ? Ran.NO : Ran.UNKNOWN;
    }
  }

  /** Returns what may be said of a request with these headers before the ledger was read. */
  static Ran ranWhenRefused(HttpFields fields) {
    boolean first = "1".equals(fields.get(RequestHeaders.ATTEMPT));
    return first || !fields.contains(RequestHeaders.IDEMPOTENCY_KEY) ? Ran.NO : Ran.UNKNOWN;
  }

  Headers headers(String account, HttpFields fields) {
    long inMs = number(fields, RequestHeaders.DEADLINE_MS, defaultDeadlineMs, MAX_DEADLINE_MS);
    if (inMs == 0) {
      throw refusal(ResultCode.DEADLINE_PASSED, "the deadline has passed");
    }
    long attempt = number(fields, RequestHeaders.ATTEMPT, 0, Integer.MAX_VALUE);
    if (attempt == 0 && fields.contains(RequestHeaders.ATTEMPT)) {
      throw malformed(RequestHeaders.ATTEMPT);
    }
    return new Headers(
        key(account, fields),
        attempt == 1,
        text(fields, RequestHeaders.SESSION, "", NAME),
        text(fields, RequestHeaders.SESSION_TOKEN, "", TOKEN),
        text(fields, RequestHeaders.TASK, DEFAULT_TASK, NAME),
        clock.nowMs() + inMs,
        (int) number(fields, RequestHeaders.PRIORITY, DEFAULT_PRIORITY, MAX_PRIORITY));
  }

  RouterRequest chat(String requestId, String account, Headers headers, byte[] body) {
    JsonNode root = parse(body);
    String model = modelOf(root);
    JsonNode stream = root.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw refusal(ResultCode.BODY_MALFORMED, "\"stream\" has to be true or false");
    }
    return new RouterRequest(
        requestId,
        account,
        headers.task(),
        model.equals(CASCADE_MODEL) ? "" : model,
        "",
        "POST",
        CHAT_PATH,
        "application/json",
        ByteString.copyFrom(body),
        stream.asBoolean(false),
        headers.key(),
        headers.firstAttempt(),
        headers.session(),
        headers.sessionToken(),
        headers.deadlineMs(),
        headers.priority(),
        Math.max(1, body.length / BYTES_PER_TOKEN),
        maxTokensOf(root),
        prefixHash(root.path("messages").toString()));
  }

  RouterRequest service(
      String requestId,
      String account,
      Headers headers,
      String method,
      String pathAndQuery,
      String contentType,
      byte[] body) {
    String rest = pathAndQuery.substring(SERVICES_PREFIX.length());
    String service = rest.split("[/?]", 2)[0];
    if (!isService.test(service)) {
      throw refusal(ResultCode.SERVICE_UNKNOWN, "no such service");
    }
    String below = rest.substring(service.length());
    return new RouterRequest(
        requestId,
        account,
        headers.task(),
        "",
        service,
        method,
        below.startsWith("/") ? below : "/" + below,
        contentType,
        ByteString.copyFrom(body),
        false,
        headers.key(),
        headers.firstAttempt(),
        headers.session(),
        headers.sessionToken(),
        headers.deadlineMs(),
        headers.priority(),
        0,
        0,
        0);
  }

  private JsonNode parse(byte[] body) {
    try {
      JsonNode root = json.readTree(body);
      if (root == null || !root.isObject()) {
        throw refusal(ResultCode.BODY_MALFORMED, "the body has to be a JSON object");
      }
      JsonNode messages = root.path("messages");
      if (!messages.isArray() || messages.isEmpty()) {
        throw refusal(ResultCode.BODY_MALFORMED, "\"messages\" has to be a list with an element");
      }
      return root;
    } catch (JsonProcessingException e) {
      throw refusal(ResultCode.BODY_MALFORMED, "the body is not JSON");
    } catch (IOException e) {
      throw refusal(ResultCode.BODY_MALFORMED, "the body cannot be read");
    }
  }

  private static String modelOf(JsonNode root) {
    JsonNode model = root.path("model");
    if (!model.isTextual() || !NAME.matcher(model.asText()).matches()) {
      throw refusal(ResultCode.BODY_MALFORMED, "\"model\" has to be a name");
    }
    return model.asText();
  }

  private static long maxTokensOf(JsonNode root) {
    JsonNode most =
        root.has("max_completion_tokens")
            ? root.path("max_completion_tokens")
            : root.path("max_tokens");
    if (most.isMissingNode() || most.isNull()) {
      return DEFAULT_MAX_TOKENS;
    }
    if (!most.isIntegralNumber() || most.asLong() < 1 || most.asLong() > MOST_MAX_TOKENS) {
      throw refusal(ResultCode.BODY_MALFORMED, "\"max_tokens\" has to be a positive number");
    }
    return most.asLong();
  }

  private static long prefixHash(String messages) {
    String prefix = messages.substring(0, Math.min(PREFIX_BYTES, messages.length()));
    return Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong();
  }

  private static @Nullable LedgerKey key(String account, HttpFields fields) {
    String value = single(fields, RequestHeaders.IDEMPOTENCY_KEY).orElse(null);
    if (value == null) {
      return null;
    }
    Matcher matcher = KEY.matcher(value);
    if (!matcher.matches()) {
      throw refusal(
          ResultCode.IDEMPOTENCY_KEY_MALFORMED,
          "Idempotency-Key has the form ISSUED_UNIX_MS-OPAQUE, opaque 1..128 of [A-Za-z0-9._-]");
    }
    return new LedgerKey(account, value, Long.parseLong(Strings.nullToEmpty(matcher.group(1))));
  }

  private static long number(HttpFields fields, String name, long fallback, long most) {
    String value = single(fields, name).orElse(null);
    if (value == null) {
      return fallback;
    }
    if (!value.matches("[0-9]{1,10}") || Long.parseLong(value) > most) {
      throw malformed(name);
    }
    return Long.parseLong(value);
  }

  private static String text(HttpFields fields, String name, String fallback, Pattern pattern) {
    String value = single(fields, name).orElse(null);
    if (value == null) {
      return fallback;
    }
    if (!pattern.matcher(value).matches()) {
      throw malformed(name);
    }
    return value;
  }

  private static Optional<String> single(HttpFields fields, String name) {
    if (fields.getValuesList(name).size() > 1) {
      throw malformed(name);
    }
    return Optional.ofNullable(fields.get(name));
  }

  static String contentType(HttpFields fields) {
    return Strings.nullToEmpty(fields.get(HttpHeader.CONTENT_TYPE));
  }

  private static RefusalException malformed(String header) {
    return refusal(ResultCode.HEADER_MALFORMED, "header " + header + " is malformed");
  }

  private static RefusalException refusal(ResultCode code, String detail) {
    return RefusalException.notRun(code, detail);
  }
}
