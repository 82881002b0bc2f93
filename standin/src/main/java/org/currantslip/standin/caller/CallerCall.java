package org.currantslip.standin.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.currantslip.standin.http.Json;

/**
 * An immutable HTTP request of a caller.
 *
 * @param address host and port
 * @param method HTTP method
 * @param path path and query
 * @param headers header fields
 * @param body request body, or empty for none
 */
public record CallerCall(
    String address, String method, String path, Map<String, String> headers, String body) {
  /** Copies the headers. */
  public CallerCall {
    headers = Map.copyOf(headers);
  }

  /** Returns a chat request with a single message. */
  public static CallerCall chat(
      String address, String token, String model, String prompt, boolean stream) {
    ObjectNode body = Json.object().put("model", model).put("stream", stream);
    body.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return new CallerCall(address, "POST", "/v1/chat/completions", bearer(token), body.toString());
  }

  /** Returns a call to a service; {@code path} starts with its name. */
  public static CallerCall service(
      String address, String token, String method, String path, String body) {
    return new CallerCall(address, method, "/services/" + path, bearer(token), body);
  }

  /** Returns a copy with a header added or replaced. */
  public CallerCall with(String name, String value) {
    Map<String, String> extended = new LinkedHashMap<>(headers);
    extended.put(name, value);
    return new CallerCall(address, method, path, extended, body);
  }

  /** Returns a copy with an idempotency key and an attempt number. */
  public CallerCall withIdempotencyKey(String key, int attempt) {
    return with("Idempotency-Key", key).with("Currantslip-Attempt", Integer.toString(attempt));
  }

  /** Returns a copy that goes to another address. */
  public CallerCall to(String newAddress) {
    return new CallerCall(newAddress, method, path, headers, body);
  }

  private static Map<String, String> bearer(String token) {
    return token.isEmpty() ? Map.of() : Map.of("Authorization", "Bearer " + token);
  }
}
