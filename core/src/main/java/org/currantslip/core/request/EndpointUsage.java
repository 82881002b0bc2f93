package org.currantslip.core.request;

import java.util.OptionalDouble;

/**
 * Token usage and confidence that an endpoint reports for a response.
 *
 * @param promptTokens number of prompt tokens processed
 * @param completionTokens number of completion tokens generated
 * @param confidence confidence from 0 to 1, if reported
 */
public record EndpointUsage(long promptTokens, long completionTokens, OptionalDouble confidence) {
  /** Returns a usage of zero tokens without a confidence. */
  public static EndpointUsage none() {
    return new EndpointUsage(0, 0, OptionalDouble.empty());
  }
}
