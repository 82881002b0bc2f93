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
 * Persists the counts of this node so that they survive it, and reads the counts of all nodes.
 *
 * <p>Each incarnation of a node has its own object and is its only writer.
 */
public final class BurnLog {
  private static final String OBJECT_PREFIX = "burn/";
  private static final long WRITE_INTERVAL_MS = 60_000;
  private static final int PAGE_SIZE = 8;

  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private final BurnRecorder recorder;
  private final String name;
  private long nextWriteMs;
  private long storeVersion;
  private boolean writeInProgress;

  private BurnLog(NodeId self, ObjectStore store, Clock clock, BurnRecorder recorder) {
    this.self = self;
    this.store = store;
    this.clock = clock;
    this.recorder = recorder;
    this.name =
        String.format(
            Locale.ROOT, "%s%s/%020d", OBJECT_PREFIX, self.getName(), self.getIncarnation());
    this.nextWriteMs = clock.nowMs() + WRITE_INTERVAL_MS;
  }

  /** Creates the log of this process. */
  public static BurnLog create(NodeId self, ObjectStore store, Clock clock, BurnRecorder recorder) {
    return new BurnLog(self, store, clock, recorder);
  }

  /** Writes the counts of this node if the write interval has elapsed. */
  public void tick() {
    if (!writeInProgress && clock.nowMs() >= nextWriteMs) {
      nextWriteMs = clock.nowMs() + WRITE_INTERVAL_MS;
      var unused = write();
    }
  }

  /** Writes the counts of this node; also completes normally if the write fails. */
  public CompletableFuture<Void> write() {
    writeInProgress = true;
    var value = recorder.snapshot(self).toByteString();
    return (storeVersion == 0 ? store.create(name, value) : store.update(name, value, storeVersion))
        .handle((version, failure) -> failure == null ? version : 0L)
        .thenCompose(
            version -> version > 0 ? CompletableFuture.completedFuture(version) : readVersion())
        .thenAccept(
            version -> {
              storeVersion = version;
              writeInProgress = false;
            });
  }

  /** Returns the service levels across all nodes. */
  public CompletableFuture<BurnReply> report(ConfigView config) {
    BurnReport report = BurnReport.create(config, clock.nowMs());
    report.add(recorder.snapshot(self));
    return addPages("", report).thenApply(BurnReport::reply);
  }

  /** Reads the stored version after a lost response or failed write, for the next update. */
  private CompletableFuture<Long> readVersion() {
    return store
        .get(name)
        .handle(
            (found, failure) ->
                failure != null ? storeVersion : found.map(StoredObject::version).orElse(0L));
  }

  private CompletableFuture<BurnReport> addPages(String after, BurnReport report) {
    return store
        .list(OBJECT_PREFIX, after, PAGE_SIZE)
        .thenCompose(
            objects -> {
              objects.forEach(o -> addObject(o, report));
              return objects.size() < PAGE_SIZE
                  ? CompletableFuture.completedFuture(report)
                  : addPages(objects.get(objects.size() - 1).name(), report);
            });
  }

  private void addObject(StoredObject object, BurnReport report) {
    if (object.name().equals(name)) {
      return;
    }
    try {
      BurnSnapshot snapshot = BurnSnapshot.parseFrom(object.value());
      if (snapshot.getAtMs() > clock.nowMs() - BurnSeries.MAX_WINDOW_MS) {
        report.add(snapshot);
      } else {
        var unused = store.delete(object.name(), object.version());
      }
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("cannot read " + object.name(), e);
    }
  }
}
