package org.currantslip.core.request;

/** HTTP status codes used in routing decisions. */
final class HttpStatus {
  static final int OK = 200;
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
    return status >= INTERNAL_SERVER_ERROR || status == TOO_MANY_REQUESTS;
  }
}
