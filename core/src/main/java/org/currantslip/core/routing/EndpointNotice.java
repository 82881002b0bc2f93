package org.currantslip.core.routing;

/**
 * What an endpoint says of itself in a response.
 *
 * @param leaving whether it is about to stop
 * @param retryAfterS time in seconds for which it wants no requests; zero if it names none, NaN if
 *     the value cannot be read
 */
public record EndpointNotice(boolean leaving, double retryAfterS) {
  private static final EndpointNotice NONE = new EndpointNotice(false, 0);

  /** Effect of a notice on the requests that may be sent to the endpoint. */
  public enum Effect {
    /** Nothing changes. */
    NONE,
    /** The endpoint gets no requests any more, or none until a later time than before. */
    RESTRICTED,
    /** The time is negative or cannot be read, and is ignored. */
    UNREADABLE
  }

  /** Returns the notice of a response that says nothing of its endpoint. */
  public static EndpointNotice none() {
    return NONE;
  }
}
