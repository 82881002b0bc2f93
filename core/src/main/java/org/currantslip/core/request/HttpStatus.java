package org.currantslip.core.request;

/** HTTP status codes used in routing decisions. */
final class HttpStatus {
  static final int OK = 200;
  static final int REQUEST_TIMEOUT = 408;
  static final int MISDIRECTED_REQUEST = 421;
  static final int TOO_MANY_REQUESTS = 429;
  static final int INTERNAL_SERVER_ERROR = 500;
  static final int SERVICE_UNAVAILABLE = 503;
  private static final int MULTIPLE_CHOICES = 300;

  private HttpStatus() {}

  /** Returns whether a status is 2xx. */
  static boolean isSuccess(int status) {
    return status >= OK && status < MULTIPLE_CHOICES;
  }

  /** Returns whether the endpoint failed to serve the request and another one might succeed. */
  static boolean isEndpointFault(int status) {
    return status >= INTERNAL_SERVER_ERROR || impliesNotRun(status);
  }

  /** Returns whether callers take a response with this status for a request that did not run. */
  static boolean impliesNotRun(int status) {
    return switch (status) {
      case REQUEST_TIMEOUT, MISDIRECTED_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> true;
      default -> false;
    };
  }
}
