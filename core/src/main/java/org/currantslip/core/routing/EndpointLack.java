package org.currantslip.core.routing;

/** Reason why a service has no endpoint for a request at all. */
public enum EndpointLack {
  NONE,
  /** No endpoint in the allowed regions can be used. */
  REGION,
  /** All endpoints that the request may use are in evacuated failure domains. */
  EVACUATED
}
