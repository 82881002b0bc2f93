package org.currantslip.node.wiring;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.session.SessionBinding;
import org.currantslip.core.session.SessionHomes;
import org.currantslip.schema.SessionAnswer;
import org.currantslip.schema.SessionQuery;

/** Takes each proposal, as when no home node can be asked; the version's hash keeps it equal. */
final class ProposedHomes implements SessionHomes {
  private ProposedHomes() {}

  static ProposedHomes create() {
    return new ProposedHomes();
  }

  @Override
  public CompletableFuture<String> keep(SessionBinding proposal) {
    return CompletableFuture.completedFuture(proposal.version());
  }

  @Override
  public SessionAnswer answer(SessionQuery query) {
    return SessionAnswer.newBuilder().setVersion(query.getProposedVersion()).build();
  }
}
