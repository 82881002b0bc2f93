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

/** Parses and validates the headers and the body of a request. */
final class RequestParser {
  static final String CHAT_PATH = "/v1/chat/completions";
  static final String SERVICES_PREFIX = "/services/";
  private static final String AUTO_MODEL = "auto";
  private static final String DEFAULT_TASK = "default";
  private static final int DEFAULT_PRIORITY = 5;
  private static final int MAX_PRIORITY = 9;
  private static final long DEFAULT_MAX_TOKENS = 1_024;
  private static final long MAX_TOKENS_LIMIT = 1 << 20;
  private static final int BYTES_PER_TOKEN = 4;
  private static final int PREFIX_CHARS = 1_024;
  private static final long MAX_DEADLINE_MS = 3_600_000;
  private static final Pattern KEY_PATTERN =
      Pattern.compile("([0-9]{1,15})-([A-Za-z0-9._-]{1,128})");
  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");
  private static final Pattern TOKEN_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,4096}");

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
   * Parsed headers of a request.
   *
   * @param key idempotency key, or null if the request has none
   * @param firstAttempt whether the caller states that it has not sent the key before
   * @param session session id, empty if none
   * @param sessionToken session token, empty if none
   * @param task name of the task
   * @param deadlineMs time by which the response must be complete
   * @param priority priority from 0 (lowest) to 9
   */
  record Headers(
      @Nullable LedgerKey key,
      boolean firstAttempt,
      String session,
      String sessionToken,
      String task,
      long deadlineMs,
      int priority) {

    /** Returns whether a request may have run if it is refused before the ledger is read. */
    Ran executionStateOfRefusal() {
      return key == null || firstAttempt ? Ran.NO : Ran.UNKNOWN;
    }
  }

  /** Like {@link Headers#executionStateOfRefusal}, for headers that were not parsed. */
  static Ran executionStateOfRefusal(HttpFields fields) {
    boolean first = "1".equals(fields.get(RequestHeaders.ATTEMPT));
    return first || !fields.contains(RequestHeaders.IDEMPOTENCY_KEY) ? Ran.NO : Ran.UNKNOWN;
  }

  Headers parseHeaders(String account, HttpFields fields) {
    long remainingMs =
        numberHeader(fields, RequestHeaders.DEADLINE_MS, defaultDeadlineMs, MAX_DEADLINE_MS);
    if (remainingMs == 0) {
      throw refusal(ResultCode.DEADLINE_PASSED, "the deadline has passed");
    }
    long attempt = numberHeader(fields, RequestHeaders.ATTEMPT, 0, Integer.MAX_VALUE);
    if (attempt == 0 && fields.contains(RequestHeaders.ATTEMPT)) {
      throw malformedHeader(RequestHeaders.ATTEMPT);
    }
    return new Headers(
        parseKey(account, fields),
        attempt == 1,
        textHeader(fields, RequestHeaders.SESSION, "", NAME_PATTERN),
        textHeader(fields, RequestHeaders.SESSION_TOKEN, "", TOKEN_PATTERN),
        textHeader(fields, RequestHeaders.TASK, DEFAULT_TASK, NAME_PATTERN),
        clock.nowMs() + remainingMs,
        (int) numberHeader(fields, RequestHeaders.PRIORITY, DEFAULT_PRIORITY, MAX_PRIORITY));
  }

  RouterRequest parseChat(String requestId, String account, Headers headers, byte[] body) {
    JsonNode root = parseBody(body);
    String model = modelOf(root);
    JsonNode stream = root.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw refusal(ResultCode.BODY_MALFORMED, "\"stream\" must be true or false");
    }
    return new RouterRequest(
        requestId,
        account,
        headers.task(),
        model.equals(AUTO_MODEL) ? "" : model,
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

  RouterRequest parseService(
      String requestId,
      String account,
      Headers headers,
      String method,
      String pathQuery,
      String contentType,
      byte[] body) {
    String serviceAndPath = pathQuery.substring(SERVICES_PREFIX.length());
    String service = serviceAndPath.split("[/?]", 2)[0];
    if (!isService.test(service)) {
      throw refusal(ResultCode.SERVICE_UNKNOWN, "unknown service");
    }
    String servicePath = serviceAndPath.substring(service.length());
    return new RouterRequest(
        requestId,
        account,
        headers.task(),
        "",
        service,
        method,
        servicePath.startsWith("/") ? servicePath : "/" + servicePath,
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

  private JsonNode parseBody(byte[] body) {
    try {
      JsonNode root = json.readTree(body);
      if (root == null || !root.isObject()) {
        throw refusal(ResultCode.BODY_MALFORMED, "the request body must be a JSON object");
      }
      JsonNode messages = root.path("messages");
      if (!messages.isArray() || messages.isEmpty()) {
        throw refusal(ResultCode.BODY_MALFORMED, "\"messages\" must be a non-empty array");
      }
      return root;
    } catch (JsonProcessingException e) {
      throw refusal(ResultCode.BODY_MALFORMED, "the request body is not valid JSON");
    } catch (IOException e) {
      throw refusal(ResultCode.BODY_MALFORMED, "the request body cannot be read");
    }
  }

  private static String modelOf(JsonNode root) {
    JsonNode model = root.path("model");
    if (!model.isTextual() || !NAME_PATTERN.matcher(model.asText()).matches()) {
      throw refusal(ResultCode.BODY_MALFORMED, "\"model\" must be a model name");
    }
    return model.asText();
  }

  private static long maxTokensOf(JsonNode root) {
    JsonNode maxTokens =
        root.has("max_completion_tokens")
            ? root.path("max_completion_tokens")
            : root.path("max_tokens");
    if (maxTokens.isMissingNode() || maxTokens.isNull()) {
      return DEFAULT_MAX_TOKENS;
    }
    if (!maxTokens.isIntegralNumber()
        || maxTokens.asLong() < 1
        || maxTokens.asLong() > MAX_TOKENS_LIMIT) {
      throw refusal(
          ResultCode.BODY_MALFORMED, "\"max_tokens\" must be an integer from 1 to 1048576");
    }
    return maxTokens.asLong();
  }

  private static long prefixHash(String messages) {
    String prefix = messages.substring(0, Math.min(PREFIX_CHARS, messages.length()));
    return Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong();
  }

  private static @Nullable LedgerKey parseKey(String account, HttpFields fields) {
    String value = singleValue(fields, RequestHeaders.IDEMPOTENCY_KEY).orElse(null);
    if (value == null) {
      return null;
    }
    Matcher matcher = KEY_PATTERN.matcher(value);
    if (!matcher.matches()) {
      throw refusal(
          ResultCode.IDEMPOTENCY_KEY_MALFORMED,
          "Idempotency-Key must be ISSUED_UNIX_MS-OPAQUE, with OPAQUE 1 to 128 of [A-Za-z0-9._-]");
    }
    return new LedgerKey(account, value, Long.parseLong(Strings.nullToEmpty(matcher.group(1))));
  }

  private static long numberHeader(HttpFields fields, String name, long fallback, long max) {
    String value = singleValue(fields, name).orElse(null);
    if (value == null) {
      return fallback;
    }
    if (!value.matches("[0-9]{1,10}") || Long.parseLong(value) > max) {
      throw malformedHeader(name);
    }
    return Long.parseLong(value);
  }

  private static String textHeader(
      HttpFields fields, String name, String fallback, Pattern pattern) {
    String value = singleValue(fields, name).orElse(null);
    if (value == null) {
      return fallback;
    }
    if (!pattern.matcher(value).matches()) {
      throw malformedHeader(name);
    }
    return value;
  }

  private static Optional<String> singleValue(HttpFields fields, String name) {
    if (fields.getValuesList(name).size() > 1) {
      throw malformedHeader(name);
    }
    return Optional.ofNullable(fields.get(name));
  }

  static String contentType(HttpFields fields) {
    return Strings.nullToEmpty(fields.get(HttpHeader.CONTENT_TYPE));
  }

  private static RefusalException malformedHeader(String header) {
    return refusal(ResultCode.HEADER_MALFORMED, "header " + header + " is malformed");
  }

  private static RefusalException refusal(ResultCode code, String detail) {
    return RefusalException.notRun(code, detail);
  }
}
