package org.currantslip.core.quarantine;

import java.util.List;
import java.util.Optional;

/** A call of an endpoint. */
public final class PromptCall {
  private final EndpointInstance endpoint;
  private final RequestFingerprints fingerprints;
  private final long sentMs;
  private boolean progressed;
  private boolean trial;

  private PromptCall(EndpointInstance endpoint, RequestFingerprints fingerprints, long sentMs) {
    this.endpoint = endpoint;
    this.fingerprints = fingerprints;
    this.sentMs = sentMs;
  }

  static PromptCall of(EndpointInstance endpoint, RequestFingerprints fingerprints, long sentMs) {
    return new PromptCall(endpoint, fingerprints, sentMs);
  }

  EndpointInstance endpoint() {
    return endpoint;
  }

  /** Returns the parts of the prompt that may be shared with other prompts. */
  List<Fingerprint> parts() {
    return fingerprints.parts();
  }

  /** Returns the fingerprint of the request, if it has one. */
  Optional<Fingerprint> request() {
    return fingerprints.request();
  }

  RequestFingerprints fingerprints() {
    return fingerprints;
  }

  long sentMs() {
    return sentMs;
  }

  /** Returns whether the response went past the point at which a part crashes an endpoint. */
  boolean progressed() {
    return progressed;
  }

  void markProgressed() {
    progressed = true;
  }

  /** Returns whether this call is the trial of a quarantined fingerprint. */
  boolean isTrial() {
    return trial;
  }

  void markTrial() {
    trial = true;
  }
}
