package org.currantslip.core.request;

import java.util.function.Consumer;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.common.Clock;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.ledger.Ledger;
import org.currantslip.core.limits.AdmissionControl;
import org.currantslip.core.rollout.VersionPolicy;
import org.currantslip.core.routing.EndpointChooser;
import org.currantslip.core.session.SessionHomes;
import org.currantslip.core.session.SessionPolicy;
import org.currantslip.core.usage.UsageSpool;
import org.currantslip.schema.DecisionRecord;

/**
 * Everything a request goes through.
 *
 * @param clock time
 * @param nodeName name of this node
 * @param config configuration in force
 * @param admission limits and queue
 * @param ledger at-most-once guard
 * @param usage billing records
 * @param sessions session tokens
 * @param homes versions of sessions without a token
 * @param versions version choice
 * @param chooser endpoint choice
 * @param cascade tier choice
 * @param calls calls to endpoints
 * @param decisions takes the record of why a request ran or was refused
 * @param outcomes takes how each request ended
 */
public record RequestPorts(
    Clock clock,
    String nodeName,
    ConfigSource config,
    AdmissionControl admission,
    Ledger ledger,
    UsageSpool usage,
    SessionPolicy sessions,
    SessionHomes homes,
    VersionPolicy versions,
    EndpointChooser chooser,
    CascadePolicy cascade,
    EndpointCalls calls,
    Consumer<DecisionRecord> decisions,
    Consumer<RequestOutcome> outcomes) {}
