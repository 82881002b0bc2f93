package org.currantslip.core.request;

/** The HTTP status codes that decisions look at. */
final class HttpStatus {
  static final int OK = 200;
  static final int TOO_MANY_REQUESTS = 429;
  static final int SERVER_ERROR = 500;
  private static final int REDIRECTION = 300;

  private HttpStatus() {}

  /** Returns whether a status tells of success. */
  static boolean isSuccess(int status) {
    return status >= OK && status < REDIRECTION;
  }

  /** Returns whether the endpoint could not serve the request, so that another one might. */
  static boolean isEndpointFault(int status) {
    return status >= SERVER_ERROR || status == TOO_MANY_REQUESTS;
  }
}
