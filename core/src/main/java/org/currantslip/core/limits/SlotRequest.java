package org.currantslip.core.limits;

import java.util.List;
import org.currantslip.core.route.Homes;
import org.currantslip.core.route.PromptPart;

/**
 * A request for a slot at an endpoint.
 *
 * @param service service of the route
 * @param account client account
 * @param rank priority rank; zero is the most urgent
 * @param arrivedMs arrival time
 * @param objectiveMs time by which the response meets its latency objective
 * @param deadlineMs time by which the request must be answered
 * @param prompt prompt parts, empty for a service without a model
 * @param homes regions in which the endpoint may be
 */
public record SlotRequest(
    String service,
    String account,
    int rank,
    long arrivedMs,
    long objectiveMs,
    long deadlineMs,
    List<PromptPart> prompt,
    Homes homes) {
  /** Creates a request for a slot in any region. */
  public SlotRequest(
      String service,
      String account,
      int rank,
      long arrivedMs,
      long objectiveMs,
      long deadlineMs,
      List<PromptPart> prompt) {
    this(service, account, rank, arrivedMs, objectiveMs, deadlineMs, prompt, Homes.all());
  }
}
