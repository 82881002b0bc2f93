package org.currantslip.node.admin;

import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigNames;
import org.currantslip.core.port.StoreException;
import org.currantslip.schema.AuditRecord;
import org.currantslip.schema.NodeId;

/** Stores the audit record of a change before the change is made. */
final class ChangeAudit {
  private static final int MAX_ATTEMPTS = 3;

  private final AdminParts parts;
  private final SplittableRandom random;

  private ChangeAudit(AdminParts parts, NodeId self) {
    this.parts = parts;
    this.random = new SplittableRandom(self.getIncarnation() ^ self.getName().hashCode());
  }

  static ChangeAudit create(AdminParts parts) {
    return new ChangeAudit(parts, parts.membership().self().getId());
  }

  CompletableFuture<Void> record(String operator, String askedBy, String action, String detail) {
    AuditRecord audit =
        AuditRecord.newBuilder()
            .setOperator(operator)
            .setAskedBy(askedBy)
            .setAction(action)
            .setDetail(detail)
            .setAtMs(parts.clock().nowMs())
            .setConfigVersion(parts.config().current().version())
            .setNode(parts.membership().self().getId().getName())
            .setNonce(random.nextLong())
            .build();
    return write(audit, MAX_ATTEMPTS);
  }

  private CompletableFuture<Void> write(AuditRecord audit, int attempts) {
    return parts
        .store()
        .create(ConfigNames.audit(audit.getAtMs(), audit.getNonce()), audit.toByteString())
        .handle(
            (version, failure) -> {
              if (failure == null || isConflict(failure)) {
                return CompletableFuture.<Void>completedFuture(null);
              }
              return attempts > 1
                  ? write(audit, attempts - 1)
                  : CompletableFuture.<Void>failedFuture(
                      AdminException.of(
                          ResultCode.STORE_UNAVAILABLE,
                          "the audit record cannot be stored, so nothing was changed"));
            })
        .thenCompose(f -> f);
  }

  /** An earlier attempt whose answer was lost has created the record. */
  private static boolean isConflict(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT;
  }
}
