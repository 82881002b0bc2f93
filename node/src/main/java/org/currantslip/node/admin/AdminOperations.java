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
 * The operations of the administration API.
 *
 * <p>Futures fail with {@link AdminException} or {@link
 * org.currantslip.core.config.ApplyException}.
 */
public interface AdminOperations {
  /**
   * Returns a configuration.
   *
   * @param version version to return from the history; 0 for the one in force on this node
   */
  CompletableFuture<ConfigReply> config(long version);

  /** Applies a configuration change on behalf of an operator. */
  CompletableFuture<ApplyReply> apply(String operator, ApplyRequest request);

  /** Returns the nodes, endpoints and roll-outs known to this node. */
  CompletableFuture<StatusReply> status();

  /** Returns the decision record that explains why a request ran or was refused. */
  CompletableFuture<WhyReply> explainDecision(String requestId);

  /** Returns the usage of one client account, or of all accounts if {@code account} is empty. */
  CompletableFuture<UsageReply> usage(String account, long sinceMs);

  /** Returns the service levels of all client accounts and tasks, aggregated over all nodes. */
  CompletableFuture<BurnReply> serviceLevels();

  /** Returns the audit records that follow the one named {@code after}, oldest first. */
  CompletableFuture<AuditReply> audit(String after);

  /** Starts a planned stop of this node. */
  CompletableFuture<DrainReply> drain(String operator, String askedBy, String node);
}
