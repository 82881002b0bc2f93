package org.currantslip.core.session;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.SessionAnswer;
import org.currantslip.schema.SessionQuery;

/** Keeps the version of sessions whose callers send no token. */
public interface SessionHomes {
  /**
   * Returns the version that the session keeps; the first proposal for a session is kept. When no
   * home node can be asked, the proposal is returned.
   */
  CompletableFuture<String> keep(SessionBinding proposal);

  /** Answers another node for which this node is a session's home. */
  SessionAnswer answer(SessionQuery query);
}
