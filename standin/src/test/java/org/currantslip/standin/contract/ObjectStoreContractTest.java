package org.currantslip.standin.contract;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicReference;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoreException.Kind;
import org.currantslip.core.port.StoredObject;
import org.currantslip.platform.ObjectsClient;
import org.currantslip.standin.object.ObjectApi;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ObjectStoreContractTest {
  private static final ByteString ONE = ByteString.copyFromUtf8("one");
  private static final ByteString TWO = ByteString.copyFromUtf8("two");
  private static final int MAX_OBJECT_BYTES = ObjectStore.MAX_VALUE_BYTES / 3 * 4 + 4_096;
  private static final long TIMEOUT_MS = 400;
  private static final long PATIENT_MS = 20_000;

  private Bench bench;
  private int port;
  private ObjectStore store;
  private ObjectStore patient;

  @BeforeEach
  void start() {
    bench = new Bench();
    port = bench.add(ObjectApi.create(bench.server.delays(), 0, 0));
    store = client(port, TIMEOUT_MS);
    patient = client(port, PATIENT_MS);
  }

  private ObjectsClient client(int port, long timeoutMs) {
    return ObjectsClient.open(
        bench.http, Bench.uri(port).toString(), bench.decisions, timeoutMs, MAX_OBJECT_BYTES);
  }

  @AfterEach
  void stop() throws InterruptedException {
    bench.close();
  }

  @Test
  void versionsGrowAndNeverRepeat() {
    assertThat(patient.get("a/b").join()).isEmpty();
    long created = patient.create("a/b", ONE).join();
    assertThat(created).isGreaterThan(0);
    long updated = patient.update("a/b", TWO, created).join();
    assertThat(updated).isGreaterThan(created);
    assertThat(patient.get("a/b").join()).hasValue(new StoredObject("a/b", updated, TWO));
    patient.delete("a/b", updated).join();
    assertThat(patient.get("a/b").join()).isEmpty();
    assertThat(patient.create("a/b", ONE).join()).isGreaterThan(updated);
  }

  @ParameterizedTest
  @CsvSource({"create,k/a", "update,k/a", "update,k/missing", "updateZero,k/missing", "delete,k/a"})
  void wrongVersionConflicts(String call, String name) {
    patient.create("k/a", ONE).join();
    CompletableFuture<?> future =
        switch (call) {
          case "create" -> patient.create(name, TWO);
          case "update" -> patient.update(name, TWO, 900);
          case "updateZero" -> patient.update(name, TWO, 0);
          default -> patient.delete(name, 900);
        };
    assertThat(kind(future)).isEqualTo(Kind.CONFLICT);
    assertThat(patient.get("k/a").join().map(StoredObject::value)).hasValue(ONE);
    assertThat(patient.get("k/missing").join()).isEmpty();
  }

  @Test
  void listsInNameOrderByPage() {
    List.of("p/3", "p/1", "q/1", "p/2").forEach(n -> patient.create(n, ONE).join());
    assertThat(names(patient.list("p/", "", 2).join())).containsExactly("p/1", "p/2").inOrder();
    assertThat(names(patient.list("p/", "p/2", 2).join())).containsExactly("p/3");
    assertThat(names(patient.list("q/", "", 10).join())).containsExactly("q/1");
    List.of("p/a/2", "p/a/1", "p/b/1").forEach(n -> patient.create(n, ONE).join());
    assertThat(names(patient.list("p/a/", "", 10).join()))
        .containsExactly("p/a/1", "p/a/2")
        .inOrder();
    assertThat(names(patient.list("p/a/", "p/a/1", 10).join())).containsExactly("p/a/2");
    assertThat(names(patient.list("p/", "", 10).join())).hasSize(6);
  }

  @Test
  void watchEndsOnChange() {
    CompletableFuture<Optional<StoredObject>> watch = patient.watch("k/w", 0, PATIENT_MS);
    patient.create("k/other", TWO).join();
    long version = patient.create("k/w", ONE).join();
    assertThat(watch.join()).hasValue(new StoredObject("k/w", version, ONE));
    assertThat(patient.watch("k/w", 0, PATIENT_MS).join()).isPresent();
    assertThat(patient.watch("k/w", version, 1).join()).isEmpty();
  }

  @Test
  void valuesUpToOneMegabyte() {
    ByteString largest = ByteString.copyFrom(new byte[ObjectStore.MAX_VALUE_BYTES]);
    assertThat(patient.create("k/big", largest).join()).isGreaterThan(0);
    assertThat(patient.get("k/big").join().orElseThrow().value()).isEqualTo(largest);
    ByteString larger = ByteString.copyFrom(new byte[ObjectStore.MAX_VALUE_BYTES + 1]);
    assertThat(kind(patient.create("k/bigger", larger))).isEqualTo(Kind.NOT_DONE);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{'down':true} | NOT_DONE | false",
        "{'refuse':true} | OUTCOME_UNKNOWN | false",
        "{'silent_after_accept':true} | OUTCOME_UNKNOWN | false",
        "{'error_share':1} | OUTCOME_UNKNOWN | false",
        "{'lose_answer_after_effect':true} | OUTCOME_UNKNOWN | true",
        "{'late_ms':60000} | OUTCOME_UNKNOWN | true",
      })
  void writeUnderFault(String faults, Kind expected, boolean takesEffect) {
    for (String call : List.of("create", "update", "delete")) {
      String name = "x/" + call;
      long version = call.equals("create") ? 0 : patient.create(name, ONE).join();
      bench.setFaults(port, faults.replace('\'', '"'));
      ObjectStore client = endsByTimeout(faults) ? store : patient;
      CompletableFuture<?> future =
          switch (call) {
            case "create" -> client.create(name, TWO);
            case "update" -> client.update(name, TWO, version);
            default -> client.delete(name, version);
          };
      assertThat(kind(future)).isEqualTo(expected);
      bench.setFaults(port, "{}");
      String now = patient.get(name).join().map(o -> o.value().toStringUtf8()).orElse("");
      String before = call.equals("create") ? "" : "one";
      String after = call.equals("delete") ? "" : "two";
      assertThat(now).isEqualTo(takesEffect ? after : before);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{'down':true}",
        "{'refuse':true}",
        "{'silent_after_accept':true}",
        "{'error_share':1}",
        "{'lose_answer_after_effect':true}",
        "{'late_ms':60000}",
        "{'truncate':true}",
        "{'freeze':true}",
      })
  void readUnderFaultIsNotDone(String faults) {
    patient.create("k/a", ByteString.copyFromUtf8("a value long enough to be cut")).join();
    bench.setFaults(port, faults.replace('\'', '"'));
    ObjectStore client = endsByTimeout(faults) ? store : patient;
    assertThat(kind(client.get("k/a"))).isEqualTo(Kind.NOT_DONE);
    assertThat(kind(client.list("k/", "", 5))).isEqualTo(Kind.NOT_DONE);
    assertThat(kind(client.watch("k/a", 0, 1))).isEqualTo(Kind.NOT_DONE);
  }

  @Test
  void closedPortIsNotDone() throws Exception {
    ObjectStore nobody = client(Bench.closedPort(), PATIENT_MS);
    assertThat(kind(nobody.create("k/a", ONE))).isEqualTo(Kind.NOT_DONE);
    assertThat(kind(nobody.get("k/a"))).isEqualTo(Kind.NOT_DONE);
  }

  @Test
  void rateLimitIsNotDoneAndEveryCallCounts() {
    int limited = bench.add(ObjectApi.create(bench.server.delays(), 1, 1));
    ObjectStore slow = client(limited, PATIENT_MS);
    slow.create("k/a", ONE).join();
    // Two writes within a second exceed the rate; a pause of the machine only adds another round.
    Optional<Kind> refusal = Optional.empty();
    for (int i = 0; refusal.isEmpty(); i++) {
      refusal = failure(slow.create("k/b" + i, ONE));
    }
    assertThat(refusal).hasValue(Kind.NOT_DONE);
    CompletableFuture<?> watch = slow.watch("k/a", 1, 1);
    assertThat(failure(watch).orElse(Kind.NOT_DONE)).isEqualTo(Kind.NOT_DONE);
    String calls = bench.control(limited, "GET", "/calls", "").body();
    assertThat(calls).contains("\"watches\":1");
    assertThat(calls).doesNotContain("\"refused\":0");
  }

  @Test
  void futuresCompleteOnTheGivenThread() {
    AtomicReference<String> name = new AtomicReference<>("");
    bench.decisions.execute(() -> name.set(Thread.currentThread().getName()));
    String seen =
        patient.create("k/t", ONE).thenApply(v -> Thread.currentThread().getName()).join();
    assertThat(seen).isEqualTo(name.get());
  }

  private static boolean endsByTimeout(String faults) {
    return faults.contains("silent") || faults.contains("late") || faults.contains("freeze");
  }

  private static List<String> names(List<StoredObject> objects) {
    return objects.stream().map(StoredObject::name).toList();
  }

  private static Kind kind(CompletableFuture<?> future) {
    return failure(future).orElseThrow();
  }

  /** Waits for the end of a call and returns the kind of its failure, if it failed. */
  private static Optional<Kind> failure(CompletableFuture<?> future) {
    try {
      future.join();
      return Optional.empty();
    } catch (CompletionException e) {
      assertThat(e).hasCauseThat().isInstanceOf(StoreException.class);
      return Optional.ofNullable((StoreException) e.getCause()).map(StoreException::kind);
    }
  }
}
