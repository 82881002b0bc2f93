package org.currantslip.core.request;

import java.util.function.Consumer;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.common.Clock;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.ledger.Ledger;
import org.currantslip.core.limits.AdmissionControl;
import org.currantslip.core.rollout.VersionPolicy;
import org.currantslip.core.routing.EndpointChooser;
import org.currantslip.core.session.SessionBindings;
import org.currantslip.core.session.SessionTokens;
import org.currantslip.core.usage.UsageSpool;
import org.currantslip.schema.DecisionRecord;

/**
 * Dependencies of requests to the router's own API.
 *
 * @param clock time source
 * @param nodeName name of this node
 * @param config current configuration
 * @param admission rate limits and admission queue
 * @param ledger ledger for at-most-once execution
 * @param usage spool for billing records
 * @param sessions issues and verifies session tokens
 * @param sessionBindings versions bound to sessions without a token
 * @param versions version selection
 * @param chooser endpoint selection
 * @param cascade tier selection
 * @param endpointClient client for calls to endpoints
 * @param decisions receives a record of why each request ran or was refused
 * @param outcomes receives the outcome of each request
 */
public record RequestPorts(
    Clock clock,
    String nodeName,
    ConfigSource config,
    AdmissionControl admission,
    Ledger ledger,
    UsageSpool usage,
    SessionTokens sessions,
    SessionBindings sessionBindings,
    VersionPolicy versions,
    EndpointChooser chooser,
    CascadePolicy cascade,
    EndpointClient endpointClient,
    Consumer<DecisionRecord> decisions,
    Consumer<RequestOutcome> outcomes) {}
