package org.currantslip.standin.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.currantslip.standin.http.Json;

/**
 * One call of a caller; immutable.
 *
 * @param address host and port
 * @param method HTTP method
 * @param path path and query
 * @param headers header fields
 * @param body body, or empty
 */
public record CallerCall(
    String address, String method, String path, Map<String, String> headers, String body) {
  /** Copies the headers. */
  public CallerCall {
    headers = Map.copyOf(headers);
  }

  /** Returns a chat request of one message. */
  public static CallerCall chat(
      String address, String token, String model, String prompt, boolean stream) {
    ObjectNode body = Json.object().put("model", model).put("stream", stream);
    body.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return new CallerCall(address, "POST", "/v1/chat/completions", bearer(token), body.toString());
  }

  /** Returns a call to a plain service. */
  public static CallerCall service(
      String address, String token, String method, String path, String body) {
    return new CallerCall(address, method, "/services/" + path, bearer(token), body);
  }

  /** Returns the same call with one more header. */
  public CallerCall with(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new CallerCall(address, method, path, more, body);
  }

  /** Returns the same call with an idempotency key. */
  public CallerCall withKey(String key, int attempt) {
    return with("Idempotency-Key", key).with("Currantslip-Attempt", Integer.toString(attempt));
  }

  /** Returns the same call to another address. */
  public CallerCall to(String other) {
    return new CallerCall(other, method, path, headers, body);
  }

  private static Map<String, String> bearer(String token) {
    return token.isEmpty() ? Map.of() : Map.of("Authorization", "Bearer " + token);
  }
}
