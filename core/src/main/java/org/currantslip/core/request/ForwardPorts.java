package org.currantslip.core.request;

import java.util.function.Consumer;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.Clock;
import org.currantslip.core.limits.PlaceQueue;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.route.RouteSource;
import org.currantslip.core.routing.EndpointChooser;

/**
 * Everything a forwarded request goes through.
 *
 * @param clock time
 * @param routes routes in force
 * @param queue places at endpoints, and the order in which requests get them
 * @param chooser endpoint choice
 * @param retries budget of further sends
 * @param rollouts version choice and the evidence on versions
 * @param sizes choice of model size
 * @param calls calls to endpoints
 * @param outcomes takes how each request ended
 * @param trace takes each decision
 */
public record ForwardPorts(
    Clock clock,
    RouteSource routes,
    PlaceQueue queue,
    EndpointChooser chooser,
    RetryBudget retries,
    ServiceRollouts rollouts,
    SizeCascade sizes,
    EndpointCalls calls,
    Consumer<RequestOutcome> outcomes,
    RequestTrace trace) {}
