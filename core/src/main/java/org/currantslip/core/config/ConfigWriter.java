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
 * Stores a change of configuration.
 *
 * <p>The conditional update of {@code config/accepted} is the one point at which a change is
 * accepted. Before it, the version it replaces is in the history and the audit record of the change
 * is stored; so every version that was ever in force can be read back with who asked for it.
 */
final class ConfigWriter {
  private static final long RETRY_MS = 100;
  private static final int MAX_DIFF_LINES = 40;

  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private final ConfigOptions options;
  private final DueTasks tasks;
  private final SplittableRandom random;
  private long kept;

  private ConfigWriter(
      NodeId self, ObjectStore store, Clock clock, ConfigOptions options, DueTasks tasks) {
    this.self = self;
    this.store = store;
    this.clock = clock;
    this.options = options;
    this.tasks = tasks;
    this.random = new SplittableRandom(options.seed() ^ self.getIncarnation() ^ nameBits(self));
  }

  private record Current(long storeVersion, AcceptedConfig config) {}

  static ConfigWriter create(
      NodeId self, ObjectStore store, Clock clock, ConfigOptions options, DueTasks tasks) {
    return new ConfigWriter(self, store, clock, options, tasks);
  }

  /** Checks a change against the version in the store without making it. */
  CompletableFuture<AcceptedConfig> check(ConfigChange change) {
    long untilMs = clock.nowMs() + options.applyStoreMs();
    return readCurrent(untilMs)
        .thenApply(
            current -> {
              requireBase(change, current.config());
              return current.config();
            });
  }

  /** Stores a change; completes with it once it is accepted. */
  CompletableFuture<AcceptedConfig> write(ConfigChange change) {
    long untilMs = clock.nowMs() + options.applyStoreMs();
    return readCurrent(untilMs)
        .thenCompose(
            current ->
                current.config().getVersion() == change.baseVersion()
                    ? replace(change, current, untilMs)
                    : findEarlier(change, current.config(), untilMs))
        .whenComplete(
            (accepted, failure) -> {
              if (accepted != null) {
                var unused = keep(accepted, untilMs);
              }
            });
  }

  private CompletableFuture<AcceptedConfig> replace(
      ConfigChange change, Current current, long untilMs) {
    AcceptedConfig next = next(change);
    return keep(current.config(), untilMs)
        .thenCompose(x -> audit(change, next, untilMs))
        .thenCompose(x -> accept(change, next, current.storeVersion(), untilMs));
  }

  /** Recognises a change that was accepted before and is sent again after a lost answer. */
  private CompletableFuture<AcceptedConfig> findEarlier(
      ConfigChange change, AcceptedConfig current, long untilMs) {
    long wanted = change.baseVersion() + 1;
    if (current.getVersion() <= wanted) {
      return judge(change, current);
    }
    return readHistory(wanted, untilMs)
        .thenCompose(
            earlier ->
                earlier.getNonce() == change.nonce()
                    ? CompletableFuture.completedFuture(earlier)
                    : CompletableFuture.failedFuture(lost(change, current)));
  }

  /** Returns a nonce for a change that comes without one. */
  long newNonce() {
    long nonce = random.nextLong();
    return nonce == 0 ? 1 : nonce;
  }

  private AcceptedConfig next(ConfigChange change) {
    return AcceptedConfig.newBuilder()
        .setVersion(change.baseVersion() + 1)
        .setRulesText(change.rulesText())
        .setAppliedBy(change.appliedBy())
        .setAppliedMs(clock.nowMs())
        .setNonce(change.nonce())
        .build();
  }

  private CompletableFuture<Void> keep(AcceptedConfig config, long untilMs) {
    if (config.getVersion() <= kept) {
      return CompletableFuture.completedFuture(null);
    }
    return createOnce(ConfigNames.history(config.getVersion()), config.toByteString(), untilMs)
        .thenAccept(x -> kept = Math.max(kept, config.getVersion()));
  }

  private CompletableFuture<Void> audit(ConfigChange change, AcceptedConfig next, long untilMs) {
    AuditRecord audit =
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
    return createOnce(ConfigNames.audit(next), audit.toByteString(), untilMs);
  }

  /** Creates an object of fixed content; one that exists already is as good. */
  private CompletableFuture<Void> createOnce(String name, ByteString value, long untilMs) {
    return retried(() -> store.create(name, value), untilMs)
        .handle((x, failure) -> failure == null || isConflict(failure) ? null : failure)
        .thenCompose(
            failure ->
                failure == null
                    ? CompletableFuture.completedFuture(null)
                    : CompletableFuture.failedFuture(failure));
  }

  private CompletableFuture<AcceptedConfig> accept(
      ConfigChange change, AcceptedConfig next, long storeVersion, long untilMs) {
    ByteString value = next.toByteString();
    CompletableFuture<Long> call =
        storeVersion == 0
            ? store.create(ConfigNames.ACCEPTED, value)
            : store.update(ConfigNames.ACCEPTED, value, storeVersion);
    return tasks
        .within(options.storeTimeoutMs(), call)
        .handle((x, failure) -> failure)
        .thenCompose(
            failure ->
                failure == null
                    ? CompletableFuture.completedFuture(next)
                    : settle(change, next, storeVersion, untilMs));
  }

  /** Finds out whether a change whose update failed or got no answer took effect. */
  private CompletableFuture<AcceptedConfig> settle(
      ConfigChange change, AcceptedConfig next, long storeVersion, long untilMs) {
    return readCurrent(untilMs)
        .thenCompose(
            current -> {
              AcceptedConfig found = current.config();
              if (found.getVersion() < next.getVersion()) {
                return later(() -> accept(change, next, storeVersion, untilMs), untilMs);
              }
              return found.getVersion() == next.getVersion()
                  ? judge(change, found)
                  : readHistory(next.getVersion(), untilMs)
                      .thenCompose(winner -> judge(change, winner));
            })
        .exceptionally(
            failure -> {
              throw Throwables.getRootCause(failure) instanceof ApplyException e
                      && e.code() == ResultCode.CONFIG_CONFLICT
                  ? e
                  : unsettled(next);
            });
  }

  private static ApplyException unsettled(AcceptedConfig next) {
    return ApplyException.of(
        ResultCode.STORE_UNAVAILABLE,
        "no word whether configuration %d was accepted; look before trying again"
            .formatted(next.getVersion()));
  }

  private static CompletableFuture<AcceptedConfig> judge(
      ConfigChange change, AcceptedConfig winner) {
    return winner.getNonce() == change.nonce()
        ? CompletableFuture.completedFuture(winner)
        : CompletableFuture.failedFuture(lost(change, winner));
  }

  private static void requireBase(ConfigChange change, AcceptedConfig current) {
    if (current.getVersion() != change.baseVersion()) {
      throw lost(change, current);
    }
  }

  private static ApplyException lost(ConfigChange change, AcceptedConfig winner) {
    String who =
        winner.getVersion() == 0
            ? "there is no accepted configuration"
            : "configuration %d was applied by %s"
                .formatted(winner.getVersion(), winner.getAppliedBy());
    String differs =
        RuleDiff.between(rules(winner.getRulesText()), change.rules()).lines().stream()
            .limit(MAX_DIFF_LINES)
            .collect(Collectors.joining("\n"));
    return ApplyException.of(
        ResultCode.CONFIG_CONFLICT,
        "%s, yours is based on %d; from that one to yours:\n%s"
            .formatted(who, change.baseVersion(), differs.isEmpty() ? "no difference" : differs));
  }

  private static RuleSet rules(String text) {
    try {
      return RulesParser.parse(text);
    } catch (RulesException e) {
      return RuleSet.empty();
    }
  }

  private CompletableFuture<Current> readCurrent(long untilMs) {
    return retried(() -> store.get(ConfigNames.ACCEPTED), untilMs)
        .thenApply(
            found ->
                found
                    .map(o -> new Current(o.version(), parse(o)))
                    .orElseGet(() -> new Current(0, AcceptedConfig.getDefaultInstance())));
  }

  private CompletableFuture<AcceptedConfig> readHistory(long version, long untilMs) {
    return retried(() -> store.get(ConfigNames.history(version)), untilMs)
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
          ResultCode.STORE_UNAVAILABLE, "cannot read " + object.name() + " in the store");
    }
  }

  /** Repeats a call that may be repeated until it succeeds, conflicts or the time is over. */
  private <T> CompletableFuture<T> retried(Supplier<CompletableFuture<T>> call, long untilMs) {
    return tasks
        .within(options.storeTimeoutMs(), call.get())
        .handle(
            (result, failure) ->
                failure == null
                    ? CompletableFuture.completedFuture(result)
                    : isConflict(failure)
                        ? CompletableFuture.<T>failedFuture(failure)
                        : later(() -> retried(call, untilMs), untilMs))
        .thenCompose(f -> f);
  }

  private <T> CompletableFuture<T> later(Supplier<CompletableFuture<T>> action, long untilMs) {
    if (clock.nowMs() + RETRY_MS >= untilMs) {
      return CompletableFuture.failedFuture(
          ApplyException.of(ResultCode.STORE_UNAVAILABLE, "the store does not answer"));
    }
    CompletableFuture<T> result = new CompletableFuture<>();
    tasks.after(
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

  private static long nameBits(NodeId self) {
    return (long) self.getName().hashCode() << Integer.SIZE;
  }
}
