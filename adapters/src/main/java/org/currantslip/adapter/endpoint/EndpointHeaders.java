package org.currantslip.adapter.endpoint;

/** Header names between a node and an endpoint. */
public final class EndpointHeaders {
  /** Id that the endpoint has to send back. */
  public static final String CORRELATION = "Currantslip-Correlation";

  /** Version of the model that is asked for. */
  public static final String VERSION = "Currantslip-Version";

  /** Priority from 0 (lowest) to 9. */
  public static final String PRIORITY = "Currantslip-Priority";

  /** The caller's idempotency key. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private EndpointHeaders() {}
}
