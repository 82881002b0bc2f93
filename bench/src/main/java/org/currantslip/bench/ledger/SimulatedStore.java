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

/** An object store without faults that has a fixed latency and counts its calls. */
final class SimulatedStore implements ObjectStore {
  private record Entry(long version, ByteString value) {}

  /** Number of calls by type and number of bytes written. */
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

  /** Returns the counts accumulated since the last call of this method. */
  Counts takeCounts() {
    Counts taken = counts;
    counts = new Counts();
    return taken;
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> get(String name) {
    counts.reads++;
    return callWithLatency(
        () -> Optional.ofNullable(objects.get(name)).map(e -> toObject(name, e)));
  }

  @Override
  public CompletableFuture<Long> create(String name, ByteString value) {
    counts.creates++;
    counts.bytes += value.size();
    return callWithLatency(
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
    return callWithLatency(
        () -> {
          requireVersion(name, expectedVersion);
          objects.put(name, new Entry(expectedVersion + 1, value));
          return expectedVersion + 1;
        });
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    counts.deletes++;
    return callWithLatency(() -> removeVersion(name, expectedVersion)).thenAccept(unused -> {});
  }

  @Override
  public CompletableFuture<List<StoredObject>> list(String prefix, String startAfter, int limit) {
    counts.reads++;
    return callWithLatency(() -> readPage(prefix, startAfter, limit));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, long waitMs) {
    throw new UnsupportedOperationException("the simulated store supports no watch");
  }

  private List<StoredObject> readPage(String prefix, String startAfter, int limit) {
    List<StoredObject> page = new ArrayList<>();
    String from = startAfter.compareTo(prefix) < 0 ? prefix : startAfter;
    for (var e : objects.tailMap(from, !from.equals(startAfter)).entrySet()) {
      if (!e.getKey().startsWith(prefix) || page.size() >= limit) {
        break;
      }
      page.add(toObject(e.getKey(), e.getValue()));
    }
    return page;
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

  /** Executes an operation after half the latency and completes the result after the other half. */
  private <T> CompletableFuture<T> callWithLatency(Supplier<T> operation) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    long requestDelayMs = latencyMs / 2;
    simulation.after(requestDelayMs, () -> execute(operation, answer, latencyMs - requestDelayMs));
    return answer;
  }

  private <T> void execute(Supplier<T> operation, CompletableFuture<T> answer, long replyDelayMs) {
    try {
      T result = operation.get();
      simulation.after(replyDelayMs, () -> answer.complete(result));
    } catch (StoreException e) {
      simulation.after(replyDelayMs, () -> answer.completeExceptionally(e));
    }
  }
}
