package org.currantslip.core.quarantine;

import java.util.List;

/** A call of an endpoint with a prompt. */
public final class PromptCall {
  private final EndpointInstance endpoint;
  private final List<PartKey> parts;
  private final long sentMs;
  private boolean progressed;
  private boolean trial;

  private PromptCall(EndpointInstance endpoint, List<PartKey> parts, long sentMs) {
    this.endpoint = endpoint;
    this.parts = parts;
    this.sentMs = sentMs;
  }

  static PromptCall of(EndpointInstance endpoint, List<PartKey> parts, long sentMs) {
    return new PromptCall(endpoint, parts, sentMs);
  }

  EndpointInstance endpoint() {
    return endpoint;
  }

  /** Returns the parts of the prompt that may be shared with other prompts. */
  List<PartKey> parts() {
    return parts;
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

  /** Returns whether this call is the trial of a quarantined part. */
  boolean isTrial() {
    return trial;
  }

  void markTrial() {
    trial = true;
  }
}
