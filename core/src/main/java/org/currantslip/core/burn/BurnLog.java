package org.currantslip.core.burn;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.BurnSnapshot;
import org.currantslip.schema.NodeId;

/**
 * Keeps each node's counts in the store, so that they outlive the node, and reads those of all.
 *
 * <p>Each incarnation of a node has one object, written by it alone.
 */
public final class BurnLog {
  private static final String PREFIX = "burn/";
  private static final long INTERVAL_MS = 60_000;
  private static final int PAGE = 8;

  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private final BurnRecorder recorder;
  private final String name;
  private long nextMs;
  private long storeVersion;
  private boolean writing;

  private BurnLog(NodeId self, ObjectStore store, Clock clock, BurnRecorder recorder) {
    this.self = self;
    this.store = store;
    this.clock = clock;
    this.recorder = recorder;
    this.name =
        String.format(Locale.ROOT, "%s%s/%020d", PREFIX, self.getName(), self.getIncarnation());
    this.nextMs = clock.nowMs() + INTERVAL_MS;
  }

  /** Returns the log of this process. */
  public static BurnLog create(NodeId self, ObjectStore store, Clock clock, BurnRecorder recorder) {
    return new BurnLog(self, store, clock, recorder);
  }

  /** Writes this node's counts when it is time. */
  public void tick() {
    if (!writing && clock.nowMs() >= nextMs) {
      nextMs = clock.nowMs() + INTERVAL_MS;
      var unused = write();
    }
  }

  /** Writes this node's counts; also completes when the store does not take them. */
  public CompletableFuture<Void> write() {
    writing = true;
    var value = recorder.snapshot(self).toByteString();
    return (storeVersion == 0 ? store.create(name, value) : store.update(name, value, storeVersion))
        .handle((version, failure) -> failure == null ? version : 0L)
        .thenCompose(
            version -> version > 0 ? CompletableFuture.completedFuture(version) : readVersion())
        .thenAccept(
            version -> {
              storeVersion = version;
              writing = false;
            });
  }

  /** Returns the service levels over all nodes. */
  public CompletableFuture<BurnReply> report(ConfigView config) {
    BurnReport report = BurnReport.create(config, clock.nowMs());
    report.add(recorder.snapshot(self));
    return page("", report).thenApply(BurnReport::reply);
  }

  /** Finds the version after a lost answer or a failed write; the next write goes on from it. */
  private CompletableFuture<Long> readVersion() {
    return store
        .get(name)
        .handle(
            (found, failure) ->
                failure != null ? storeVersion : found.map(StoredObject::version).orElse(0L));
  }

  private CompletableFuture<BurnReport> page(String after, BurnReport report) {
    return store
        .list(PREFIX, after, PAGE)
        .thenCompose(
            objects -> {
              objects.forEach(o -> take(o, report));
              return objects.size() < PAGE
                  ? CompletableFuture.completedFuture(report)
                  : page(objects.get(objects.size() - 1).name(), report);
            });
  }

  private void take(StoredObject object, BurnReport report) {
    if (object.name().equals(name)) {
      return;
    }
    try {
      BurnSnapshot snapshot = BurnSnapshot.parseFrom(object.value());
      if (snapshot.getAtMs() > clock.nowMs() - BurnSeries.LONGEST_MS) {
        report.add(snapshot);
      } else {
        var unused = store.delete(object.name(), object.version());
      }
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("cannot read " + object.name(), e);
    }
  }
}
