package org.currantslip.core.session;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.SessionAnswer;
import org.currantslip.schema.SessionQuery;

/** Stores the model versions of sessions whose callers send no token. */
public interface SessionBindings {
  /**
   * Returns the version to which the session is bound; the first proposal for a session binds it.
   * If no home node is reachable, the proposal is returned.
   */
  CompletableFuture<String> bind(SessionBinding proposal);

  /** Handles a query or an update from another node for a session whose home is this node. */
  SessionAnswer onQuery(SessionQuery query);
}
