package org.currantslip.standin.contract;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicReference;
import org.currantslip.adapter.store.HttpObjectStore;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoreException.Kind;
import org.currantslip.core.port.StoredObject;
import org.currantslip.standin.object.ObjectApi;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ObjectStoreContractTest {
  private static final ByteString ONE = ByteString.copyFromUtf8("one");
  private static final ByteString TWO = ByteString.copyFromUtf8("two");
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
    store = HttpObjectStore.create(bench.http, Bench.uri(port), bench.decisions, TIMEOUT_MS);
    patient = HttpObjectStore.create(bench.http, Bench.uri(port), bench.decisions, PATIENT_MS);
  }

  @AfterEach
  void stop() throws InterruptedException {
    bench.close();
  }

  @Test
  void versionsGrowAndNeverRepeat() {
    assertThat(patient.get("a/b").join()).isEmpty();
    assertThat(patient.create("a/b", ONE).join()).isEqualTo(1);
    assertThat(patient.update("a/b", TWO, 1).join()).isEqualTo(2);
    assertThat(patient.get("a/b").join()).hasValue(new StoredObject("a/b", 2, TWO));
    patient.delete("a/b", 2).join();
    assertThat(patient.get("a/b").join()).isEmpty();
    assertThat(patient.create("a/b", ONE).join()).isEqualTo(3);
  }

  @ParameterizedTest
  @CsvSource({"create,a", "update,a", "update,missing", "updateZero,missing", "delete,a"})
  void wrongVersionConflicts(String call, String name) {
    patient.create("a", ONE).join();
    CompletableFuture<?> future =
        switch (call) {
          case "create" -> patient.create(name, TWO);
          case "update" -> patient.update(name, TWO, 9);
          case "updateZero" -> patient.update(name, TWO, 0);
          default -> patient.delete(name, 9);
        };
    assertThat(kind(future)).isEqualTo(Kind.CONFLICT);
    assertThat(patient.get("a").join().map(StoredObject::value)).hasValue(ONE);
    assertThat(patient.get("missing").join()).isEmpty();
  }

  @Test
  void listsInNameOrderByPage() {
    List.of("p/3", "p/1", "q/1", "p/2").forEach(n -> patient.create(n, ONE).join());
    assertThat(names(patient.list("p/", "", 2).join())).containsExactly("p/1", "p/2").inOrder();
    assertThat(names(patient.list("p/", "p/2", 2).join())).containsExactly("p/3");
    assertThat(names(patient.list("", "", 10).join())).hasSize(4);
  }

  @Test
  void watchEndsOnChange() {
    CompletableFuture<Optional<StoredObject>> watch = patient.watch("w", 0, PATIENT_MS);
    patient.create("w", ONE).join();
    assertThat(watch.join()).hasValue(new StoredObject("w", 1, ONE));
    assertThat(patient.watch("w", 0, PATIENT_MS).join()).isPresent();
    assertThat(patient.watch("w", 1, 1).join()).isEmpty();
  }

  @Test
  void valuesUpToOneMegabyte() {
    ByteString largest = ByteString.copyFrom(new byte[ObjectStore.MAX_VALUE_BYTES]);
    assertThat(patient.create("big", largest).join()).isEqualTo(1);
    assertThat(patient.get("big").join().orElseThrow().value()).isEqualTo(largest);
    ByteString larger = ByteString.copyFrom(new byte[ObjectStore.MAX_VALUE_BYTES + 1]);
    assertThat(kind(patient.create("bigger", larger))).isEqualTo(Kind.NOT_DONE);
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
      if (!call.equals("create")) {
        patient.create(name, ONE).join();
      }
      bench.setFaults(port, faults.replace('\'', '"'));
      ObjectStore client = endsByTimeout(faults) ? store : patient;
      CompletableFuture<?> future =
          switch (call) {
            case "create" -> client.create(name, TWO);
            case "update" -> client.update(name, TWO, 1);
            default -> client.delete(name, 1);
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
    patient.create("a", ByteString.copyFromUtf8("a value long enough to be cut")).join();
    bench.setFaults(port, faults.replace('\'', '"'));
    ObjectStore client = endsByTimeout(faults) ? store : patient;
    assertThat(kind(client.get("a"))).isEqualTo(Kind.NOT_DONE);
    assertThat(kind(client.list("", "", 5))).isEqualTo(Kind.NOT_DONE);
    assertThat(kind(client.watch("a", 0, 1))).isEqualTo(Kind.NOT_DONE);
  }

  @Test
  void closedPortIsNotDone() throws Exception {
    ObjectStore nobody =
        HttpObjectStore.create(
            bench.http, Bench.uri(Bench.closedPort()), bench.decisions, PATIENT_MS);
    assertThat(kind(nobody.create("a", ONE))).isEqualTo(Kind.NOT_DONE);
    assertThat(kind(nobody.get("a"))).isEqualTo(Kind.NOT_DONE);
  }

  @Test
  void rateLimitIsNotDoneAndEveryCallCounts() {
    int limited = bench.add(ObjectApi.create(bench.server.delays(), 1, 1));
    ObjectStore slow =
        HttpObjectStore.create(bench.http, Bench.uri(limited), bench.decisions, PATIENT_MS);
    slow.create("a", ONE).join();
    // Two writes within a second exceed the rate; a pause of the machine only adds another round.
    Optional<Kind> refusal = Optional.empty();
    for (int i = 0; refusal.isEmpty(); i++) {
      refusal = failure(slow.create("b" + i, ONE));
    }
    assertThat(refusal).hasValue(Kind.NOT_DONE);
    CompletableFuture<?> watch = slow.watch("a", 1, 1);
    assertThat(failure(watch).orElse(Kind.NOT_DONE)).isEqualTo(Kind.NOT_DONE);
    String calls = bench.control(limited, "GET", "/calls", "").body();
    assertThat(calls).contains("\"watches\":1");
    assertThat(calls).doesNotContain("\"refused\":0");
  }

  @Test
  void futuresCompleteOnTheGivenThread() {
    AtomicReference<String> name = new AtomicReference<>("");
    bench.decisions.execute(() -> name.set(Thread.currentThread().getName()));
    String seen = patient.create("t", ONE).thenApply(v -> Thread.currentThread().getName()).join();
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
