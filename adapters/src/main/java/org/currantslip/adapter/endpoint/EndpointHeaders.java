package org.currantslip.adapter.endpoint;

/** Names of the header fields exchanged with endpoints. */
public final class EndpointHeaders {
  /** Correlation id that the endpoint must echo in its response. */
  public static final String CORRELATION = "Currantslip-Correlation";

  /** Requested version of the model. */
  public static final String VERSION = "Currantslip-Version";

  /** Priority from 0 (lowest) to 9. */
  public static final String PRIORITY = "Currantslip-Priority";

  /** The caller's idempotency key. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private EndpointHeaders() {}
}
