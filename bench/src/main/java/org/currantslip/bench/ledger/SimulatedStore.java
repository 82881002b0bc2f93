package org.currantslip.bench.ledger;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoreException.Kind;
import org.currantslip.core.port.StoredObject;

/** A faultless object store with a fixed latency that counts its calls. */
final class SimulatedStore implements ObjectStore {
  private record Entry(long version, ByteString value) {}

  /** Calls and bytes written since the last reset. */
  static final class Counts {
    private long creates;
    private long updates;
    private long deletes;
    private long reads;
    private long bytes;

    long writes() {
      return creates + updates + deletes;
    }

    long deletes() {
      return deletes;
    }

    long reads() {
      return reads;
    }

    long bytes() {
      return bytes;
    }
  }

  private final Simulation simulation;
  private final long latencyMs;
  private final TreeMap<String, Entry> objects = new TreeMap<>();
  private Counts counts = new Counts();

  private SimulatedStore(Simulation simulation, long latencyMs) {
    this.simulation = simulation;
    this.latencyMs = latencyMs;
  }

  static SimulatedStore on(Simulation simulation, long latencyMs) {
    return new SimulatedStore(simulation, latencyMs);
  }

  /** Returns the counts since the last call. */
  Counts takeCounts() {
    Counts taken = counts;
    counts = new Counts();
    return taken;
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> get(String name) {
    counts.reads++;
    return call(() -> Optional.ofNullable(objects.get(name)).map(e -> toObject(name, e)));
  }

  @Override
  public CompletableFuture<Long> create(String name, ByteString value) {
    counts.creates++;
    counts.bytes += value.size();
    return call(
        () -> {
          if (objects.putIfAbsent(name, new Entry(1, value)) != null) {
            throw StoreException.of(Kind.CONFLICT, name);
          }
          return 1L;
        });
  }

  @Override
  public CompletableFuture<Long> update(String name, ByteString value, long expectedVersion) {
    counts.updates++;
    counts.bytes += value.size();
    return call(
        () -> {
          requireVersion(name, expectedVersion);
          objects.put(name, new Entry(expectedVersion + 1, value));
          return expectedVersion + 1;
        });
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    counts.deletes++;
    return call(() -> removeVersion(name, expectedVersion)).thenAccept(removed -> {});
  }

  @Override
  public CompletableFuture<List<StoredObject>> list(String prefix, String startAfter, int limit) {
    counts.reads++;
    return call(() -> page(prefix, startAfter, limit));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, long waitMs) {
    throw new UnsupportedOperationException("watch");
  }

  private List<StoredObject> page(String prefix, String startAfter, int limit) {
    List<StoredObject> found = new ArrayList<>();
    String from = startAfter.compareTo(prefix) < 0 ? prefix : startAfter;
    for (var e : objects.tailMap(from, !from.equals(startAfter)).entrySet()) {
      if (!e.getKey().startsWith(prefix) || found.size() >= limit) {
        break;
      }
      found.add(toObject(e.getKey(), e.getValue()));
    }
    return found;
  }

  private static StoredObject toObject(String name, Entry entry) {
    return new StoredObject(name, entry.version(), entry.value());
  }

  private Entry removeVersion(String name, long expected) {
    requireVersion(name, expected);
    return objects.remove(name);
  }

  private void requireVersion(String name, long expected) {
    Entry entry = objects.get(name);
    if (entry == null || entry.version() != expected) {
      throw StoreException.of(Kind.CONFLICT, name);
    }
  }

  private <T> CompletableFuture<T> call(Supplier<T> effect) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    long half = latencyMs / 2;
    simulation.after(half, () -> apply(effect, answer, latencyMs - half));
    return answer;
  }

  private <T> void apply(Supplier<T> effect, CompletableFuture<T> answer, long delayMs) {
    try {
      T result = effect.get();
      simulation.after(delayMs, () -> answer.complete(result));
    } catch (StoreException e) {
      simulation.after(delayMs, () -> answer.completeExceptionally(e));
    }
  }
}
