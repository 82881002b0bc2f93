package org.currantslip.core.usage;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.UsageRecord;

/** Reads stored usage records, without duplicates if several batches contain the same record. */
public final class UsageReader {
  private static final int PAGE_BATCHES = 16;

  private final ObjectStore store;

  private UsageReader(ObjectStore store) {
    this.store = store;
  }

  /** Returns a reader for the given store. */
  public static UsageReader create(ObjectStore store) {
    return new UsageReader(store);
  }

  /** Returns the records that match the filter, one per request id. */
  public CompletableFuture<List<UsageRecord>> read(Predicate<UsageRecord> filter) {
    Map<String, UsageRecord> found = new LinkedHashMap<>();
    return readPages("", filter, found).thenApply(done -> List.copyOf(found.values()));
  }

  private CompletableFuture<Void> readPages(
      String after, Predicate<UsageRecord> filter, Map<String, UsageRecord> found) {
    return store
        .list(UsageNames.PREFIX, after, PAGE_BATCHES)
        .thenCompose(
            page -> {
              page.forEach(o -> collect(o, filter, found));
              return page.size() < PAGE_BATCHES
                  ? CompletableFuture.completedFuture(null)
                  : readPages(page.get(page.size() - 1).name(), filter, found);
            });
  }

  private static void collect(
      StoredObject object, Predicate<UsageRecord> filter, Map<String, UsageRecord> found) {
    BatchWriter.parse(object).getRecordList().stream()
        .filter(filter)
        .forEach(r -> found.putIfAbsent(r.getRequestId(), r));
  }
}
