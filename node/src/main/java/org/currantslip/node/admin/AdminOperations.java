package org.currantslip.node.admin;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.ApplyRequest;
import org.currantslip.schema.AuditReply;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.ConfigReply;
import org.currantslip.schema.DrainReply;
import org.currantslip.schema.StatusReply;
import org.currantslip.schema.UsageReply;
import org.currantslip.schema.WhyReply;

/**
 * What an operator may ask of a node.
 *
 * <p>Futures fail with {@link AdminException} or {@link
 * org.currantslip.core.config.ApplyException}.
 */
public interface AdminOperations {
  /** Returns the configuration in force here, or an earlier version from the history. */
  CompletableFuture<ConfigReply> config(long version);

  /** Applies a change in the name of an operator. */
  CompletableFuture<ApplyReply> apply(String operator, ApplyRequest request);

  /** Returns nodes, endpoints and roll-outs as this node sees them. */
  CompletableFuture<StatusReply> status();

  /** Returns why a request ran or was refused. */
  CompletableFuture<WhyReply> why(String requestId);

  /** Returns the usage of one client account, or of all for an empty name. */
  CompletableFuture<UsageReply> usage(String account, long sinceMs);

  /** Returns the service levels of all client accounts and tasks over all nodes. */
  CompletableFuture<BurnReply> burn();

  /** Returns audit records after the one with this name, oldest first. */
  CompletableFuture<AuditReply> audit(String after);

  /** Starts a planned stop of this node. */
  CompletableFuture<DrainReply> drain(String operator, String askedBy, String node);
}
