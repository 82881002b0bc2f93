package org.currantslip.node.admin;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.currantslip.core.audit.DecisionLog;
import org.currantslip.core.burn.BurnLog;
import org.currantslip.core.common.Clock;
import org.currantslip.core.config.ConfigManager;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.routing.EndpointChooser;
import org.currantslip.schema.NodeStatus;
import org.currantslip.schema.RolloutState;

/**
 * The components of a node that the administration API reads or controls.
 *
 * @param nodes returns the nodes known to this one, with the configuration in force on each
 * @param rollouts returns the roll-outs known to this node
 * @param drain starts a planned stop of this node and completes with the phase of the stop
 */
public record AdminComponents(
    Clock clock,
    ConfigManager config,
    DecisionLog decisionLog,
    Membership membership,
    EndpointChooser endpoints,
    ObjectStore store,
    BurnLog burnLog,
    Supplier<List<NodeStatus>> nodes,
    Supplier<List<RolloutState>> rollouts,
    Supplier<CompletableFuture<String>> drain) {}
