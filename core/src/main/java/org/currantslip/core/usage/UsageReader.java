package org.currantslip.core.usage;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.UsageRecord;

/** Reads stored usage; a record that stands in several batches counts once. */
public final class UsageReader {
  private static final int PAGE_BATCHES = 16;

  private final ObjectStore store;

  private UsageReader(ObjectStore store) {
    this.store = store;
  }

  /** Returns a reader of this store. */
  public static UsageReader create(ObjectStore store) {
    return new UsageReader(store);
  }

  /** Returns the wanted records, one for each request id. */
  public CompletableFuture<List<UsageRecord>> read(Predicate<UsageRecord> wanted) {
    Map<String, UsageRecord> found = new LinkedHashMap<>();
    return readFrom("", wanted, found).thenApply(done -> List.copyOf(found.values()));
  }

  private CompletableFuture<Void> readFrom(
      String after, Predicate<UsageRecord> wanted, Map<String, UsageRecord> found) {
    return store
        .list(UsageNames.PREFIX, after, PAGE_BATCHES)
        .thenCompose(
            page -> {
              page.forEach(o -> collect(o, wanted, found));
              return page.size() < PAGE_BATCHES
                  ? CompletableFuture.completedFuture(null)
                  : readFrom(page.get(page.size() - 1).name(), wanted, found);
            });
  }

  private static void collect(
      StoredObject object, Predicate<UsageRecord> wanted, Map<String, UsageRecord> found) {
    BatchWriter.parse(object).getRecordList().stream()
        .filter(wanted)
        .forEach(r -> found.putIfAbsent(r.getRequestId(), r));
  }
}
