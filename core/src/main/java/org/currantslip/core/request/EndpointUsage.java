package org.currantslip.core.request;

import java.util.OptionalDouble;

/**
 * What the endpoint says of an answer.
 *
 * @param promptTokens prompt tokens read
 * @param completionTokens tokens generated
 * @param confidence the endpoint's confidence, from 0 to 1, if it gave one
 */
public record EndpointUsage(long promptTokens, long completionTokens, OptionalDouble confidence) {
  /** Returns the usage of an answer without tokens. */
  public static EndpointUsage none() {
    return new EndpointUsage(0, 0, OptionalDouble.empty());
  }
}
