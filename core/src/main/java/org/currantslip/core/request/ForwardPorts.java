package org.currantslip.core.request;

import java.util.function.Consumer;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.Clock;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.reach.EndpointReach;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.route.RouteSource;
import org.currantslip.core.routing.EndpointChooser;

/**
 * Dependencies of forwarded requests.
 *
 * @param clock time source
 * @param routes current routing table
 * @param queue queue for endpoint capacity, which also orders the waiting requests
 * @param chooser endpoint selection
 * @param retryBudget retry budget
 * @param rollouts version selection and outcome statistics per version
 * @param sizeCascade model size selection
 * @param quarantine quarantine of prompt parts under which endpoints crash
 * @param endpointClient client for calls to endpoints
 * @param outcomes receives the outcome of each request
 * @param trace receives routing decisions for diagnostics
 * @param reach whether this node has a path to endpoints
 * @param relay hands requests over to peers while it has none
 */
public record ForwardPorts(
    Clock clock,
    RouteSource routes,
    SlotQueue queue,
    EndpointChooser chooser,
    RetryBudget retryBudget,
    ServiceRollouts rollouts,
    SizeCascade sizeCascade,
    PromptQuarantine quarantine,
    EndpointClient endpointClient,
    Consumer<RequestOutcome> outcomes,
    RequestTrace trace,
    EndpointReach reach,
    RequestRelay relay) {
  /** Creates the dependencies of a node without peers. */
  public ForwardPorts(
      Clock clock,
      RouteSource routes,
      SlotQueue queue,
      EndpointChooser chooser,
      RetryBudget retryBudget,
      ServiceRollouts rollouts,
      SizeCascade sizeCascade,
      PromptQuarantine quarantine,
      EndpointClient endpointClient,
      Consumer<RequestOutcome> outcomes,
      RequestTrace trace) {
    this(
        clock,
        routes,
        queue,
        chooser,
        retryBudget,
        rollouts,
        sizeCascade,
        quarantine,
        endpointClient,
        outcomes,
        trace,
        EndpointReach.alone(clock),
        RequestRelay.none());
  }
}
