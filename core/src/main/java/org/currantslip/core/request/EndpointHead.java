package org.currantslip.core.request;

import java.util.List;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;

/**
 * The head of an endpoint's answer.
 *
 * @param status HTTP status
 * @param contentType media type, or empty
 * @param correlation correlation id that the endpoint sent back, or empty
 * @param notRun whether the endpoint says that it did not run the request
 * @param authentic whether the answer can be proved to be the endpoint's own
 * @param confidence the endpoint's confidence in the answer from 0 to 1, if it gave one
 * @param load the endpoint's load, if it told it
 * @param fields header fields to pass on to the caller, in order
 */
public record EndpointHead(
    int status,
    String contentType,
    String correlation,
    boolean notRun,
    boolean authentic,
    OptionalDouble confidence,
    @Nullable LoadNow load,
    List<HeaderField> fields) {

  /**
   * An endpoint's load as it answered.
   *
   * @param running requests that run
   * @param waiting requests that wait for a slot
   * @param slots requests that can run at once
   */
  public record LoadNow(int running, int waiting, int slots) {}

  /** Returns the head of an answer of which only these fields matter. */
  public static EndpointHead of(int status, String contentType, String correlation) {
    return new EndpointHead(
        status, contentType, correlation, false, true, OptionalDouble.empty(), null, List.of());
  }

  /** Returns whether the endpoint answered with success. */
  public boolean isSuccess() {
    return HttpStatus.isSuccess(status);
  }
}
