package org.currantslip.core.limits;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.config.ConfigView;
import org.currantslip.schema.DemandReport;

/** Decides whether and when a request may start. */
public interface AdmissionControl {
  /**
   * Asks for a request to start. The future completes when it may, or fails with {@link
   * org.currantslip.core.common.RefusalException}; a refusal comes at once.
   */
  CompletableFuture<Permit> admit(ConfigView config, AdmissionQuery query);

  /** Returns whether one more attempt of this account's request is within the retry budget. */
  boolean tryRetry(String account);

  /** Takes the demand seen by another node. */
  void onDemand(DemandReport report);

  /** Returns the demand seen by this node, to be sent to peers. */
  DemandReport demand();

  /** Starts queued requests that may start, and refuses those that cannot. */
  void tick();
}
