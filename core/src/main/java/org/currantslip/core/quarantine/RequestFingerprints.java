package org.currantslip.core.quarantine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.currantslip.core.route.PromptPart;

/**
 * The fingerprints of a request: those of the prompt parts that other requests may share, which are
 * all but the last one, and that of the request itself.
 */
public final class RequestFingerprints {
  private static final RequestFingerprints NONE =
      new RequestFingerprints("", List.of(), Optional.empty());

  private final String service;
  private final List<Fingerprint> parts;
  private final Optional<Fingerprint> request;

  private RequestFingerprints(
      String service, List<Fingerprint> parts, Optional<Fingerprint> request) {
    this.service = service;
    this.parts = parts;
    this.request = request;
  }

  /** Returns no fingerprints. */
  public static RequestFingerprints none() {
    return NONE;
  }

  /** Returns the fingerprints of a prompt only. */
  static RequestFingerprints ofPrompt(String service, List<PromptPart> prompt) {
    return new RequestFingerprints(service, sharedParts(service, prompt), Optional.empty());
  }

  /**
   * Returns the fingerprints of a request.
   *
   * @param path path with the query
   * @param account client account
   */
  public static RequestFingerprints of(
      String service,
      List<PromptPart> prompt,
      String method,
      String path,
      String account,
      ByteString body) {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    Stream.of(method, path, account).forEach(text -> putString(hasher, text));
    body.asReadOnlyByteBufferList().forEach(hasher::putBytes);
    return new RequestFingerprints(
        service,
        sharedParts(service, prompt),
        Optional.of(Fingerprint.ofRequest(hasher.hash().toString())));
  }

  private static void putString(Hasher hasher, String text) {
    hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
  }

  private static List<Fingerprint> sharedParts(String service, List<PromptPart> prompt) {
    return prompt.stream()
        .limit(Math.max(0, prompt.size() - 1))
        .map(part -> new Fingerprint(service, part.id()))
        .distinct()
        .toList();
  }

  /** Returns the service that the request is sent to. */
  public String service() {
    return service;
  }

  List<Fingerprint> parts() {
    return parts;
  }

  Optional<Fingerprint> request() {
    return request;
  }

  Stream<Fingerprint> stream() {
    return Stream.concat(parts.stream(), request.stream());
  }
}
