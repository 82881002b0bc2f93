package org.currantslip.core.request;

import java.util.List;
import java.util.OptionalDouble;
import org.currantslip.core.allowance.EndpointNotice;
import org.jspecify.annotations.Nullable;

/**
 * Head of an endpoint's response.
 *
 * @param status HTTP status
 * @param contentType media type, or empty
 * @param correlation correlation id echoed by the endpoint, or empty
 * @param notRun whether the endpoint reports that it did not run the request
 * @param authentic whether the response is authenticated as coming from the endpoint
 * @param confidence confidence in the response from 0 to 1, if reported
 * @param framing how the response marks the end of its body
 * @param notice what the endpoint says of itself
 * @param load load of the endpoint, or null if not reported
 * @param fields header fields to relay to the caller, in order
 */
public record EndpointResponseHead(
    int status,
    String contentType,
    String correlation,
    boolean notRun,
    boolean authentic,
    OptionalDouble confidence,
    BodyFraming framing,
    EndpointNotice notice,
    @Nullable CurrentLoad load,
    List<HeaderField> fields) {

  /**
   * Load of an endpoint at the time of its response.
   *
   * @param running requests being executed
   * @param waiting requests waiting for a slot
   * @param slots maximum number of concurrent requests
   * @param workPercent time that work takes on the endpoint's machine, in percent of the usual
   */
  public record CurrentLoad(int running, int waiting, int slots, int workPercent) {}

  /** Returns an authenticated head with the given fields and defaults for all others. */
  public static EndpointResponseHead of(int status, String contentType, String correlation) {
    return new EndpointResponseHead(
        status,
        contentType,
        correlation,
        false,
        true,
        OptionalDouble.empty(),
        BodyFraming.LENGTH,
        EndpointNotice.none(),
        null,
        List.of());
  }

  /** Returns whether the status is 2xx. */
  public boolean isSuccess() {
    return HttpStatus.isSuccess(status);
  }
}
