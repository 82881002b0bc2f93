package org.currantslip.core.allowance;

/**
 * What a response says of the requests that its endpoint accepts from all nodes together.
 *
 * @param kind whether the response names a limit
 * @param perS requests a second; infinite unless the kind is {@link Kind#NAMED}
 */
public record RequestLimit(Kind kind, double perS) {
  private static final RequestLimit NONE = new RequestLimit(Kind.NONE, Double.POSITIVE_INFINITY);
  private static final RequestLimit UNSAID =
      new RequestLimit(Kind.UNSAID, Double.POSITIVE_INFINITY);
  private static final RequestLimit UNREADABLE =
      new RequestLimit(Kind.UNREADABLE, Double.POSITIVE_INFINITY);

  /** Whether a response names a limit. */
  public enum Kind {
    /** The endpoint names a limit. */
    NAMED,
    /** The endpoint names none, so that an earlier one ends. */
    NONE,
    /** The response is not known to come from the endpoint, and changes nothing. */
    UNSAID,
    /** The value is no number of requests, and changes nothing. */
    UNREADABLE
  }

  /** Returns a limit of this many requests a second; unreadable if that is no number from 0 on. */
  public static RequestLimit of(double perS) {
    return perS >= 0 && perS < Double.POSITIVE_INFINITY
        ? new RequestLimit(Kind.NAMED, perS)
        : UNREADABLE;
  }

  /** Returns the limit of an endpoint that names none. */
  public static RequestLimit none() {
    return NONE;
  }

  /** Returns the limit of a response that another endpoint may have sent. */
  public static RequestLimit unsaid() {
    return UNSAID;
  }

  /** Returns the limit of a response whose value cannot be read. */
  public static RequestLimit unreadable() {
    return UNREADABLE;
  }
}
