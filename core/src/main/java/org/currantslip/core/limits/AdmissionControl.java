package org.currantslip.core.limits;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.config.ConfigView;
import org.currantslip.schema.DemandReport;

/** Decides whether and when a request may start. */
public interface AdmissionControl {
  /**
   * Requests admission. The future completes when the request may start, or fails with {@link
   * org.currantslip.core.common.RefusalException}. A request that is refused on arrival fails
   * immediately.
   */
  CompletableFuture<Permit> admit(ConfigView config, AdmissionQuery query);

  /** Returns whether the retry budget of the account allows one more attempt. */
  boolean tryRetry(String account);

  /** Records the demand observed by another node. */
  void onPeerDemand(DemandReport report);

  /** Returns the demand observed by this node, for sending to peers. */
  DemandReport localDemand();

  /**
   * Starts queued requests that fit within the limits and refuses those whose deadline has passed.
   */
  void tick();
}
