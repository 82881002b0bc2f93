package org.currantslip.core.allowance;

import java.util.OptionalDouble;

/**
 * What an endpoint says of itself in a response.
 *
 * @param leaving whether it is about to stop
 * @param retryAfterS time in seconds for which it wants no requests; zero if it names none, NaN if
 *     the value cannot be read
 * @param limit number of requests that it accepts from all nodes together
 * @param brittlePerS refusals a second for lack of room that it bears, if it is brittle; NaN if the
 *     value is negative or cannot be read
 */
public record EndpointNotice(
    boolean leaving, double retryAfterS, RequestLimit limit, OptionalDouble brittlePerS) {
  private static final EndpointNotice NONE = new EndpointNotice(false, 0, RequestLimit.unsaid());

  /** Creates the notice of a response of an endpoint that is not brittle. */
  public EndpointNotice(boolean leaving, double retryAfterS, RequestLimit limit) {
    this(leaving, retryAfterS, limit, OptionalDouble.empty());
  }

  /** Creates the notice of a response that says nothing of a limit. */
  public EndpointNotice(boolean leaving, double retryAfterS) {
    this(leaving, retryAfterS, RequestLimit.unsaid());
  }

  /** Effect of a notice on the requests that may be sent to the endpoint. */
  public enum Effect {
    /** Nothing changes. */
    NONE,
    /** The endpoint gets fewer requests than before, or none. */
    RESTRICTED,
    /** The endpoint gets more requests than before. */
    RELAXED,
    /** The time or the limit is negative or cannot be read, and is ignored. */
    UNREADABLE
  }

  /** Returns the notice of a response that says nothing of its endpoint. */
  public static EndpointNotice none() {
    return NONE;
  }
}
