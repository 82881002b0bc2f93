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
 * Resolves intents that have no stored outcome.
 *
 * <p>Only the intent's writer may report that the request was not dispatched, and after doing so it
 * must never dispatch it. If the writer is permanently gone, the outcome stays unknown. If the
 * writer is unreachable, the intent counts as in flight.
 */
final class IntentResolver {
  private final Membership membership;
  private final PeerNetwork peers;
  private final Clock clock;
  private final AppendRouter router;
  private final Function<IntentQuery, IntentAnswer> localAnswer;
  private final LedgerOptions options;

  private IntentResolver(
      Membership membership,
      PeerNetwork peers,
      Clock clock,
      AppendRouter router,
      Function<IntentQuery, IntentAnswer> localAnswer,
      LedgerOptions options) {
    this.membership = membership;
    this.peers = peers;
    this.clock = clock;
    this.router = router;
    this.localAnswer = localAnswer;
    this.options = options;
  }

  static IntentResolver create(
      Membership membership,
      PeerNetwork peers,
      Clock clock,
      AppendRouter router,
      Function<IntentQuery, IntentAnswer> localAnswer,
      LedgerOptions options) {
    return new IntentResolver(membership, peers, clock, router, localAnswer, options);
  }

  /** Queries the fate of an intent; returns in-flight if its writer is unreachable. */
  CompletableFuture<IntentAnswer> queryFate(LedgerIntent intent) {
    IntentQuery query =
        IntentQuery.newBuilder()
            .setAccount(intent.getAccount())
            .setKey(intent.getKey())
            .setRequestId(intent.getRequestId())
            .setWriterIncarnation(intent.getWriter().getIncarnation())
            .build();
    NodeId writer = intent.getWriter();
    if (writer.equals(membership.self().getId())) {
      return CompletableFuture.completedFuture(localAnswer.apply(query));
    }
    if (isGone(writer)) {
      return CompletableFuture.completedFuture(toAnswer(query, IntentFate.FATE_UNKNOWN));
    }
    PeerFrame frame = PeerFrame.newBuilder().setIntentQuery(query).build();
    return peers
        .request(writer.getName(), frame, options.peerTimeoutMs() / 2)
        .thenApply(PeerFrame::getIntentAnswer)
        .exceptionally(failure -> toAnswer(query, IntentFate.IN_FLIGHT));
  }

  /** Appends an unknown outcome for an intent; a stored outcome is not replaced. */
  CompletableFuture<LedgerVerdict> storeUnknown(LedgerIntent intent) {
    LedgerOutcome unknown =
        LedgerOutcome.newBuilder()
            .setAccount(intent.getAccount())
            .setKey(intent.getKey())
            .setRequestId(intent.getRequestId())
            .setResult(LedgerResult.UNKNOWN)
            .setIntent(intent)
            .build();
    return router.append(AppendRecord.of(unknown, clock.nowMs() + options.storeTimeoutMs()));
  }

  private boolean isGone(NodeId writer) {
    return membership.isGone(writer)
        || membership
            .find(writer.getName())
            .filter(n -> n.getId().getIncarnation() > writer.getIncarnation())
            .isPresent();
  }

  static IntentAnswer toAnswer(IntentQuery query, IntentFate fate) {
    return IntentAnswer.newBuilder().setRequestId(query.getRequestId()).setFate(fate).build();
  }
}
