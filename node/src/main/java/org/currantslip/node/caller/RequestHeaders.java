package org.currantslip.node.caller;

/** Header names of the native API. */
final class RequestHeaders {
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String ATTEMPT = "Currantslip-Attempt";
  static final String SESSION = "Currantslip-Session";
  static final String SESSION_TOKEN = "Currantslip-Session-Token";
  static final String TASK = "Currantslip-Task";
  static final String DEADLINE_MS = "Currantslip-Deadline-Ms";
  static final String PRIORITY = "Currantslip-Priority";

  static final String REQUEST_ID = "Currantslip-Request-Id";
  static final String CODE = "Currantslip-Code";
  static final String RAN = "Currantslip-Ran";
  static final String MODEL = "Currantslip-Model";
  static final String VERSION = "Currantslip-Version";
  static final String CONFIG_VERSION = "Currantslip-Config-Version";
  static final String RULE_LINES = "Currantslip-Rule-Lines";
  static final String SESSION_MOVED = "Currantslip-Session-Moved";
  static final String REPLAYED = "Currantslip-Replayed";
  static final String RETRY_AFTER_MS = "Currantslip-Retry-After-Ms";

  private RequestHeaders() {}
}
