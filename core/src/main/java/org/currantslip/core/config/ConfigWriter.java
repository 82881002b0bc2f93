package org.currantslip.core.config;

import com.google.common.base.Throwables;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoredObject;
import org.currantslip.core.rules.RuleDiff;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.core.rules.RulesException;
import org.currantslip.core.rules.RulesParser;
import org.currantslip.schema.AcceptedConfig;
import org.currantslip.schema.AuditRecord;
import org.currantslip.schema.NodeId;

/**
 * Writes configuration changes to the store.
 *
 * <p>The conditional update of {@code config/accepted} is the commit point of a change. The version
 * it replaces and the audit record of the change are stored before it, so every version that was
 * ever in force can be read back together with the person who requested it.
 */
final class ConfigWriter {
  private static final long RETRY_MS = 100;
  private static final int MAX_DIFF_LINES = 40;

  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private final ConfigOptions options;
  private final TaskScheduler scheduler;
  private final SplittableRandom random;
  private long archivedVersion;

  private ConfigWriter(
      NodeId self, ObjectStore store, Clock clock, ConfigOptions options, TaskScheduler scheduler) {
    this.self = self;
    this.store = store;
    this.clock = clock;
    this.options = options;
    this.scheduler = scheduler;
    this.random = new SplittableRandom(options.seed() ^ self.getIncarnation() ^ nameSeed(self));
  }

  private record Current(long storeVersion, AcceptedConfig config) {}

  static ConfigWriter create(
      NodeId self, ObjectStore store, Clock clock, ConfigOptions options, TaskScheduler scheduler) {
    return new ConfigWriter(self, store, clock, options, scheduler);
  }

  /** Checks a change against the stored version without applying it. */
  CompletableFuture<AcceptedConfig> check(ConfigChange change) {
    long deadlineMs = clock.nowMs() + options.applyStoreMs();
    return readCurrent(deadlineMs)
        .thenApply(
            current -> {
              requireBaseVersion(change, current.config());
              return current.config();
            });
  }

  /** Stores a change; completes with the accepted configuration. */
  CompletableFuture<AcceptedConfig> write(ConfigChange change) {
    long deadlineMs = clock.nowMs() + options.applyStoreMs();
    return readCurrent(deadlineMs)
        .thenCompose(
            current ->
                current.config().getVersion() == change.baseVersion()
                    ? replace(change, current, deadlineMs)
                    : findAccepted(change, current.config(), deadlineMs))
        .whenComplete(
            (accepted, failure) -> {
              if (accepted != null) {
                var unused = archive(accepted, deadlineMs);
              }
            });
  }

  private CompletableFuture<AcceptedConfig> replace(
      ConfigChange change, Current current, long deadlineMs) {
    AcceptedConfig next = nextVersion(change);
    return archive(current.config(), deadlineMs)
        .thenCompose(x -> writeAudit(change, next, deadlineMs))
        .thenCompose(x -> updateAccepted(change, next, current.storeVersion(), deadlineMs));
  }

  /** Recognizes a change that was already accepted and is resent after a lost reply. */
  private CompletableFuture<AcceptedConfig> findAccepted(
      ConfigChange change, AcceptedConfig current, long deadlineMs) {
    long changeVersion = change.baseVersion() + 1;
    if (current.getVersion() <= changeVersion) {
      return acceptedOrConflict(change, current);
    }
    return readHistory(changeVersion, deadlineMs)
        .thenCompose(
            earlier ->
                earlier.getNonce() == change.nonce()
                    ? CompletableFuture.completedFuture(earlier)
                    : CompletableFuture.failedFuture(conflict(change, current)));
  }

  /** Returns a nonce for a change that has none. */
  long newNonce() {
    long nonce = random.nextLong();
    return nonce == 0 ? 1 : nonce;
  }

  private AcceptedConfig nextVersion(ConfigChange change) {
    return AcceptedConfig.newBuilder()
        .setVersion(change.baseVersion() + 1)
        .setRulesText(change.rulesText())
        .setAppliedBy(change.appliedBy())
        .setAppliedMs(clock.nowMs())
        .setNonce(change.nonce())
        .build();
  }

  private CompletableFuture<Void> archive(AcceptedConfig config, long deadlineMs) {
    if (config.getVersion() <= archivedVersion) {
      return CompletableFuture.completedFuture(null);
    }
    return createIfAbsent(
            ConfigNames.historyName(config.getVersion()), config.toByteString(), deadlineMs)
        .thenAccept(x -> archivedVersion = Math.max(archivedVersion, config.getVersion()));
  }

  private CompletableFuture<Void> writeAudit(
      ConfigChange change, AcceptedConfig next, long deadlineMs) {
    AuditRecord record =
        AuditRecord.newBuilder()
            .setOperator(change.operator())
            .setAskedBy(change.askedBy())
            .setAction("apply")
            .setDetail("configuration " + next.getVersion())
            .setAtMs(next.getAppliedMs())
            .setConfigVersion(next.getVersion())
            .setNode(self.getName())
            .setNonce(next.getNonce())
            .build();
    return createIfAbsent(ConfigNames.auditName(next), record.toByteString(), deadlineMs);
  }

  /** Creates an object with fixed content; succeeds if it already exists. */
  private CompletableFuture<Void> createIfAbsent(String name, ByteString value, long deadlineMs) {
    return withRetries(() -> store.create(name, value), deadlineMs)
        .handle((x, failure) -> failure == null || isConflict(failure) ? null : failure)
        .thenCompose(
            failure ->
                failure == null
                    ? CompletableFuture.completedFuture(null)
                    : CompletableFuture.failedFuture(failure));
  }

  private CompletableFuture<AcceptedConfig> updateAccepted(
      ConfigChange change, AcceptedConfig next, long storeVersion, long deadlineMs) {
    ByteString value = next.toByteString();
    CompletableFuture<Long> call =
        storeVersion == 0
            ? store.create(ConfigNames.ACCEPTED, value)
            : store.update(ConfigNames.ACCEPTED, value, storeVersion);
    return scheduler
        .withTimeout(options.storeTimeoutMs(), call)
        .handle((x, failure) -> failure)
        .thenCompose(
            failure ->
                failure == null
                    ? CompletableFuture.completedFuture(next)
                    : resolveOutcome(change, next, storeVersion, deadlineMs));
  }

  /** Determines whether a change whose update failed or got no reply took effect. */
  private CompletableFuture<AcceptedConfig> resolveOutcome(
      ConfigChange change, AcceptedConfig next, long storeVersion, long deadlineMs) {
    return readCurrent(deadlineMs)
        .thenCompose(
            current -> {
              AcceptedConfig accepted = current.config();
              if (accepted.getVersion() < next.getVersion()) {
                return retryLater(
                    () -> updateAccepted(change, next, storeVersion, deadlineMs), deadlineMs);
              }
              return accepted.getVersion() == next.getVersion()
                  ? acceptedOrConflict(change, accepted)
                  : readHistory(next.getVersion(), deadlineMs)
                      .thenCompose(winner -> acceptedOrConflict(change, winner));
            })
        .exceptionally(
            failure -> {
              throw Throwables.getRootCause(failure) instanceof ApplyException e
                      && e.code() == ResultCode.CONFIG_CONFLICT
                  ? e
                  : unknownOutcome(next);
            });
  }

  private static ApplyException unknownOutcome(AcceptedConfig next) {
    return ApplyException.of(
        ResultCode.STORE_UNAVAILABLE,
        "unknown whether configuration %d was accepted; check before retrying"
            .formatted(next.getVersion()));
  }

  private static CompletableFuture<AcceptedConfig> acceptedOrConflict(
      ConfigChange change, AcceptedConfig winner) {
    return winner.getNonce() == change.nonce()
        ? CompletableFuture.completedFuture(winner)
        : CompletableFuture.failedFuture(conflict(change, winner));
  }

  private static void requireBaseVersion(ConfigChange change, AcceptedConfig current) {
    if (current.getVersion() != change.baseVersion()) {
      throw conflict(change, current);
    }
  }

  private static ApplyException conflict(ConfigChange change, AcceptedConfig winner) {
    String currentState =
        winner.getVersion() == 0
            ? "there is no accepted configuration"
            : "configuration %d was applied by %s"
                .formatted(winner.getVersion(), winner.getAppliedBy());
    String diff =
        RuleDiff.between(rules(winner.getRulesText()), change.rules()).lines().stream()
            .limit(MAX_DIFF_LINES)
            .collect(Collectors.joining("\n"));
    return ApplyException.of(
        ResultCode.CONFIG_CONFLICT,
        "%s, but this change is based on configuration %d; differences from the accepted rules:\n%s"
            .formatted(
                currentState, change.baseVersion(), diff.isEmpty() ? "no differences" : diff));
  }

  private static RuleSet rules(String text) {
    try {
      return RulesParser.parse(text);
    } catch (RulesException e) {
      return RuleSet.empty();
    }
  }

  private CompletableFuture<Current> readCurrent(long deadlineMs) {
    return withRetries(() -> store.get(ConfigNames.ACCEPTED), deadlineMs)
        .thenApply(
            found ->
                found
                    .map(o -> new Current(o.version(), parse(o)))
                    .orElseGet(() -> new Current(0, AcceptedConfig.getDefaultInstance())));
  }

  private CompletableFuture<AcceptedConfig> readHistory(long version, long deadlineMs) {
    return withRetries(() -> store.get(ConfigNames.historyName(version)), deadlineMs)
        .thenApply(
            found ->
                found
                    .map(ConfigWriter::parse)
                    .orElseThrow(
                        () ->
                            ApplyException.of(
                                ResultCode.STORE_UNAVAILABLE,
                                "configuration " + version + " is not in the history")));
  }

  private static AcceptedConfig parse(StoredObject object) {
    try {
      return AcceptedConfig.parseFrom(object.value());
    } catch (InvalidProtocolBufferException e) {
      throw ApplyException.of(
          ResultCode.STORE_UNAVAILABLE, "cannot parse " + object.name() + " from the store");
    }
  }

  /** Retries an idempotent call until it succeeds, conflicts or the deadline passes. */
  private <T> CompletableFuture<T> withRetries(
      Supplier<CompletableFuture<T>> call, long deadlineMs) {
    return scheduler
        .withTimeout(options.storeTimeoutMs(), call.get())
        .handle(
            (result, failure) ->
                failure == null
                    ? CompletableFuture.completedFuture(result)
                    : isConflict(failure)
                        ? CompletableFuture.<T>failedFuture(failure)
                        : retryLater(() -> withRetries(call, deadlineMs), deadlineMs))
        .thenCompose(f -> f);
  }

  private <T> CompletableFuture<T> retryLater(
      Supplier<CompletableFuture<T>> action, long deadlineMs) {
    if (clock.nowMs() + RETRY_MS >= deadlineMs) {
      return CompletableFuture.failedFuture(
          ApplyException.of(ResultCode.STORE_UNAVAILABLE, "the object store does not respond"));
    }
    CompletableFuture<T> result = new CompletableFuture<>();
    scheduler.schedule(
        RETRY_MS,
        () ->
            action
                .get()
                .whenComplete(
                    (value, failure) -> {
                      if (failure != null) {
                        result.completeExceptionally(failure);
                      } else {
                        result.complete(value);
                      }
                    }));
    return result;
  }

  private static boolean isConflict(Throwable failure) {
    return Optional.of(Throwables.getRootCause(failure))
        .filter(StoreException.class::isInstance)
        .map(StoreException.class::cast)
        .filter(e -> e.kind() == StoreException.Kind.CONFLICT)
        .isPresent();
  }

  private static long nameSeed(NodeId self) {
    return (long) self.getName().hashCode() << Integer.SIZE;
  }
}
