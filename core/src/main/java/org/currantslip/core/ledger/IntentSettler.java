package org.currantslip.core.ledger;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.IntentAnswer;
import org.currantslip.schema.IntentFate;
import org.currantslip.schema.IntentQuery;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;
import org.currantslip.schema.LedgerVerdict;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.PeerFrame;

/**
 * Finds out what became of an intent without outcome.
 *
 * <p>Only the intent's writer may say that it was not dispatched, and saying so is a promise. A
 * writer that is gone leaves the outcome unknown for good; one that is out of reach leaves it open.
 */
final class IntentSettler {
  private final Membership membership;
  private final PeerNetwork peers;
  private final Clock clock;
  private final AppendRouter router;
  private final Function<IntentQuery, IntentAnswer> own;
  private final LedgerOptions options;

  private IntentSettler(
      Membership membership,
      PeerNetwork peers,
      Clock clock,
      AppendRouter router,
      Function<IntentQuery, IntentAnswer> own,
      LedgerOptions options) {
    this.membership = membership;
    this.peers = peers;
    this.clock = clock;
    this.router = router;
    this.own = own;
    this.options = options;
  }

  static IntentSettler create(
      Membership membership,
      PeerNetwork peers,
      Clock clock,
      AppendRouter router,
      Function<IntentQuery, IntentAnswer> own,
      LedgerOptions options) {
    return new IntentSettler(membership, peers, clock, router, own, options);
  }

  /** Asks for the fate of an intent; in flight when its writer is out of reach. */
  CompletableFuture<IntentAnswer> ask(LedgerIntent intent) {
    IntentQuery query =
        IntentQuery.newBuilder()
            .setAccount(intent.getAccount())
            .setKey(intent.getKey())
            .setRequestId(intent.getRequestId())
            .setWriterIncarnation(intent.getWriter().getIncarnation())
            .build();
    NodeId writer = intent.getWriter();
    if (writer.equals(membership.self().getId())) {
      return CompletableFuture.completedFuture(own.apply(query));
    }
    if (isGone(writer)) {
      return CompletableFuture.completedFuture(answer(query, IntentFate.FATE_UNKNOWN));
    }
    PeerFrame frame = PeerFrame.newBuilder().setIntentQuery(query).build();
    return peers
        .ask(writer.getName(), frame, options.peerMs() / 2)
        .thenApply(PeerFrame::getIntentAnswer)
        .exceptionally(failure -> answer(query, IntentFate.IN_FLIGHT));
  }

  /** Stores that the outcome of an intent is unknown, unless a better one is stored already. */
  CompletableFuture<LedgerVerdict> storeUnknown(LedgerIntent intent) {
    LedgerOutcome unknown =
        LedgerOutcome.newBuilder()
            .setAccount(intent.getAccount())
            .setKey(intent.getKey())
            .setRequestId(intent.getRequestId())
            .setResult(LedgerResult.UNKNOWN)
            .setIntent(intent)
            .build();
    return router.append(AppendRecord.of(unknown, clock.nowMs() + options.storeMs()));
  }

  private boolean isGone(NodeId writer) {
    return membership.isGone(writer)
        || membership
            .find(writer.getName())
            .filter(n -> n.getId().getIncarnation() > writer.getIncarnation())
            .isPresent();
  }

  static IntentAnswer answer(IntentQuery query, IntentFate fate) {
    return IntentAnswer.newBuilder().setRequestId(query.getRequestId()).setFate(fate).build();
  }
}
