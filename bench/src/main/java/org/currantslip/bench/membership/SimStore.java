package org.currantslip.bench.membership;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoredObject;

/** An in-memory object store that counts its calls and answers after a fixed latency. */
final class SimStore implements ObjectStore {
  private static final long LATENCY_MS = 5;

  private final SimScheduler scheduler;
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private long reads;
  private long writes;
  private long readBytes;

  SimStore(SimScheduler scheduler) {
    this.scheduler = scheduler;
  }

  long reads() {
    return reads;
  }

  long writes() {
    return writes;
  }

  long readBytes() {
    return readBytes;
  }

  private <T> CompletableFuture<T> answerAfterLatency(Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    scheduler.after(
        LATENCY_MS,
        () ->
            call.get()
                .whenComplete(
                    (value, failure) -> {
                      if (failure == null) {
                        result.complete(value);
                      } else {
                        result.completeExceptionally(failure);
                      }
                    }));
    return result;
  }

  private CompletableFuture<Long> put(String name, ByteString value, long expectedVersion) {
    writes++;
    StoredObject current = objects.get(name);
    long version = current == null ? 0 : current.version();
    if (version != expectedVersion) {
      return CompletableFuture.failedFuture(
          StoreException.of(StoreException.Kind.CONFLICT, "current version is " + version));
    }
    objects.put(name, new StoredObject(name, version + 1, value));
    return CompletableFuture.completedFuture(version + 1);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> get(String name) {
    reads++;
    return answerAfterLatency(
        () -> CompletableFuture.completedFuture(Optional.ofNullable(objects.get(name))));
  }

  @Override
  public CompletableFuture<Long> create(String name, ByteString value) {
    return answerAfterLatency(() -> put(name, value, 0));
  }

  @Override
  public CompletableFuture<Long> update(String name, ByteString value, long expectedVersion) {
    return answerAfterLatency(() -> put(name, value, expectedVersion));
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<List<StoredObject>> list(String prefix, String startAfter, int limit) {
    reads++;
    return answerAfterLatency(
        () -> {
          List<StoredObject> page =
              objects.tailMap(startAfter.isEmpty() ? prefix : startAfter, false).values().stream()
                  .filter(o -> o.name().startsWith(prefix))
                  .limit(limit)
                  .toList();
          readBytes += page.stream().mapToLong(o -> o.name().length() + o.value().size()).sum();
          return CompletableFuture.completedFuture(page);
        });
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, long waitMs) {
    throw new UnsupportedOperationException();
  }
}
