package org.currantslip.node.admin;

import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigNames;
import org.currantslip.core.port.StoreException;
import org.currantslip.schema.AuditRecord;
import org.currantslip.schema.NodeId;

/** Stores the audit record of a change. The change may be made only once this succeeds. */
final class AuditRecorder {
  private static final int MAX_ATTEMPTS = 3;

  private final AdminComponents components;
  private final SplittableRandom random;

  private AuditRecorder(AdminComponents components, NodeId self) {
    this.components = components;
    this.random = new SplittableRandom(self.getIncarnation() ^ self.getName().hashCode());
  }

  static AuditRecorder create(AdminComponents components) {
    return new AuditRecorder(components, components.membership().self().getId());
  }

  CompletableFuture<Void> record(String operator, String askedBy, String action, String detail) {
    AuditRecord audit =
        AuditRecord.newBuilder()
            .setOperator(operator)
            .setAskedBy(askedBy)
            .setAction(action)
            .setDetail(detail)
            .setAtMs(components.clock().nowMs())
            .setConfigVersion(components.config().current().version())
            .setNode(components.membership().self().getId().getName())
            .setNonce(random.nextLong())
            .build();
    return createObject(audit, MAX_ATTEMPTS);
  }

  private CompletableFuture<Void> createObject(AuditRecord audit, int attemptsLeft) {
    return components
        .store()
        .create(ConfigNames.auditName(audit.getAtMs(), audit.getNonce()), audit.toByteString())
        .handle(
            (version, failure) -> {
              if (failure == null || isConflict(failure)) {
                return CompletableFuture.<Void>completedFuture(null);
              }
              return attemptsLeft > 1
                  ? createObject(audit, attemptsLeft - 1)
                  : CompletableFuture.<Void>failedFuture(
                      AdminException.of(
                          ResultCode.STORE_UNAVAILABLE,
                          "the audit record could not be stored; no change was made"));
            })
        .thenCompose(future -> future);
  }

  /**
   * Returns whether the object already exists. Its name contains the nonce, so it was created by an
   * earlier attempt whose response was lost.
   */
  private static boolean isConflict(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT;
  }
}
