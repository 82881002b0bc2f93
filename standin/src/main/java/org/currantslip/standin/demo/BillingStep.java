package org.currantslip.standin.demo;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.platform.ObjectsClient;
import org.currantslip.schema.UsageBatch;
import org.currantslip.schema.UsageRecord;
import org.eclipse.jetty.client.HttpClient;

/** Compares the usage records in the object API with the answered requests. */
final class BillingStep {
  private static final long TIMEOUT_MS = 5_000;
  private static final int PAGE_SIZE = 1_000;

  private BillingStep() {}

  /** Checks that each answered request has exactly one usage record; all nodes have ended. */
  static void run(URI objectApi, List<String> answered, Checks checks) {
    HttpClient http = HttpClients.start("billing", 4);
    Map<String, Long> billed;
    try {
      ObjectStore store =
          ObjectsClient.open(
              http, objectApi.toString(), Runnable::run, TIMEOUT_MS, ObjectStore.MAX_VALUE_BYTES);
      billed =
          store.list("usage/", "", PAGE_SIZE).join().stream()
              .flatMap(o -> records(o).stream())
              .collect(Collectors.groupingBy(UsageRecord::getRequestId, Collectors.counting()));
    } finally {
      HttpClients.stop(http);
    }
    List<String> mismatched =
        answered.stream()
            .filter(id -> billed.getOrDefault(id, 0L) != 1)
            .map(id -> id + " " + billed.getOrDefault(id, 0L) + " times")
            .toList();
    checks.that(
        "each of " + answered.size() + " answered requests is billed once",
        mismatched.isEmpty() && !answered.isEmpty(),
        "requests not billed exactly once: " + mismatched);
  }

  private static List<UsageRecord> records(StoredObject object) {
    try {
      return UsageBatch.parseFrom(object.value()).getRecordList();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(object.name() + " is not a usage batch", e);
    }
  }
}
