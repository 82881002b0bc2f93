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
import org.currantslip.core.port.StorePosition;
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
  private static final long SHORT_TIMEOUT_MS = 400;
  private static final long LONG_TIMEOUT_MS = 20_000;

  private ContractFixture fixture;
  private ObjectApi api;
  private int port;
  private ObjectStore shortTimeoutStore;
  private ObjectStore store;

  @BeforeEach
  void start() {
    fixture = new ContractFixture();
    api = ObjectApi.create(fixture.server.delays(), 0, 0);
    port = fixture.add(api);
    shortTimeoutStore = client(port, SHORT_TIMEOUT_MS);
    store = client(port, LONG_TIMEOUT_MS);
  }

  private ObjectsClient client(int port, long timeoutMs) {
    return ObjectsClient.open(
        fixture.http,
        ContractFixture.uri(port).toString(),
        fixture.executor,
        timeoutMs,
        MAX_OBJECT_BYTES);
  }

  @AfterEach
  void stop() throws InterruptedException {
    fixture.close();
  }

  @Test
  void versionsGrowAndNeverRepeat() {
    assertThat(store.get("a/b").join()).isEmpty();
    long created = store.create("a/b", ONE).join();
    assertThat(created).isGreaterThan(0);
    long updated = store.update("a/b", TWO, created).join();
    assertThat(updated).isGreaterThan(created);
    assertThat(store.get("a/b").join()).hasValue(new StoredObject("a/b", updated, TWO));
    store.delete("a/b", updated).join();
    assertThat(store.get("a/b").join()).isEmpty();
    assertThat(store.create("a/b", ONE).join()).isGreaterThan(updated);
  }

  @ParameterizedTest
  @CsvSource({"create,k/a", "update,k/a", "update,k/missing", "updateZero,k/missing", "delete,k/a"})
  void wrongVersionConflicts(String call, String name) {
    store.create("k/a", ONE).join();
    CompletableFuture<?> future =
        switch (call) {
          case "create" -> store.create(name, TWO);
          case "update" -> store.update(name, TWO, 900);
          case "updateZero" -> store.update(name, TWO, 0);
          default -> store.delete(name, 900);
        };
    assertThat(kind(future)).isEqualTo(Kind.CONFLICT);
    assertThat(store.get("k/a").join().map(StoredObject::value)).hasValue(ONE);
    assertThat(store.get("k/missing").join()).isEmpty();
  }

  @Test
  void listsInNameOrderByPage() {
    List.of("p/3", "p/1", "q/1", "p/2").forEach(n -> store.create(n, ONE).join());
    assertThat(names(store.list("p/", "", 2).join())).containsExactly("p/1", "p/2").inOrder();
    assertThat(names(store.list("p/", "p/2", 2).join())).containsExactly("p/3");
    assertThat(names(store.list("q/", "", 10).join())).containsExactly("q/1");
    List.of("p/a/2", "p/a/1", "p/b/1").forEach(n -> store.create(n, ONE).join());
    assertThat(names(store.list("p/a/", "", 10).join()))
        .containsExactly("p/a/1", "p/a/2")
        .inOrder();
    assertThat(names(store.list("p/a/", "p/a/1", 10).join())).containsExactly("p/a/2");
    assertThat(names(store.list("p/", "", 10).join())).hasSize(6);
  }

  @Test
  void storeThatReturnsFromCopyAssignsRevisionsAgainInNewEra() {
    ObjectsClient client = client(port, LONG_TIMEOUT_MS);
    store.create("k/a", ONE).join();
    api.takeCopy();
    final StorePosition copied = client.listKind("k", "").join().position();
    final long lost = store.create("k/b", ONE).join();
    StorePosition after = client.listKind("k", "").join().position();
    api.restoreCopy();
    assertThat(client.probe().join()).isEqualTo(1L);
    assertThat(kind(client.watchKind("k", after, 1))).isEqualTo(Kind.HISTORY_GONE);
    assertThat(client.listKind("k", "").join().position())
        .isEqualTo(new StorePosition(1, copied.revision()));
    assertThat(store.get("k/b").join()).isEmpty();
    assertThat(store.create("k/c", TWO).join()).isEqualTo(lost);
    assertThat(client.watchKind("k", after, 1).join().position().era()).isEqualTo(1);
  }

  @Test
  void watchEndsOnChange() {
    CompletableFuture<Optional<StoredObject>> watch = store.watch("k/w", 0, LONG_TIMEOUT_MS);
    store.create("k/other", TWO).join();
    long version = store.create("k/w", ONE).join();
    assertThat(watch.join()).hasValue(new StoredObject("k/w", version, ONE));
    assertThat(store.watch("k/w", 0, LONG_TIMEOUT_MS).join()).isPresent();
    assertThat(store.watch("k/w", version, 1).join()).isEmpty();
  }

  @Test
  void valuesUpToOneMegabyte() {
    ByteString largest = ByteString.copyFrom(new byte[ObjectStore.MAX_VALUE_BYTES]);
    assertThat(store.create("k/big", largest).join()).isGreaterThan(0);
    assertThat(store.get("k/big").join().orElseThrow().value()).isEqualTo(largest);
    ByteString larger = ByteString.copyFrom(new byte[ObjectStore.MAX_VALUE_BYTES + 1]);
    assertThat(kind(store.create("k/bigger", larger))).isEqualTo(Kind.NOT_DONE);
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
      long version = call.equals("create") ? 0 : store.create(name, ONE).join();
      fixture.setFaults(port, faults.replace('\'', '"'));
      ObjectStore client = endsByTimeout(faults) ? shortTimeoutStore : store;
      CompletableFuture<?> future =
          switch (call) {
            case "create" -> client.create(name, TWO);
            case "update" -> client.update(name, TWO, version);
            default -> client.delete(name, version);
          };
      assertThat(kind(future)).isEqualTo(expected);
      fixture.setFaults(port, "{}");
      String now = store.get(name).join().map(o -> o.value().toStringUtf8()).orElse("");
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
    store.create("k/a", ByteString.copyFromUtf8("a value long enough to be cut")).join();
    fixture.setFaults(port, faults.replace('\'', '"'));
    ObjectStore client = endsByTimeout(faults) ? shortTimeoutStore : store;
    assertThat(kind(client.get("k/a"))).isEqualTo(Kind.NOT_DONE);
    assertThat(kind(client.list("k/", "", 5))).isEqualTo(Kind.NOT_DONE);
    assertThat(kind(client.watch("k/a", 0, 1))).isEqualTo(Kind.NOT_DONE);
  }

  @Test
  void closedPortIsNotDone() throws Exception {
    ObjectStore unreachable = client(ContractFixture.closedPort(), LONG_TIMEOUT_MS);
    assertThat(kind(unreachable.create("k/a", ONE))).isEqualTo(Kind.NOT_DONE);
    assertThat(kind(unreachable.get("k/a"))).isEqualTo(Kind.NOT_DONE);
  }

  @Test
  void rateLimitIsNotDoneAndEveryCallCounts() {
    int limited = fixture.add(ObjectApi.create(fixture.server.delays(), 1, 1));
    ObjectStore slow = client(limited, LONG_TIMEOUT_MS);
    slow.create("k/a", ONE).join();
    // Two writes within a second exceed the rate; if the machine stalls, the loop just runs longer.
    Optional<Kind> refusal = Optional.empty();
    for (int i = 0; refusal.isEmpty(); i++) {
      refusal = failure(slow.create("k/b" + i, ONE));
    }
    assertThat(refusal).hasValue(Kind.NOT_DONE);
    CompletableFuture<?> watch = slow.watch("k/a", 1, 1);
    assertThat(failure(watch).orElse(Kind.NOT_DONE)).isEqualTo(Kind.NOT_DONE);
    String calls = fixture.control(limited, "GET", "/calls", "").body();
    assertThat(calls).contains("\"watches\":1");
    assertThat(calls).doesNotContain("\"refused\":0");
  }

  @Test
  void futuresCompleteOnTheGivenThread() {
    AtomicReference<String> name = new AtomicReference<>("");
    fixture.executor.execute(() -> name.set(Thread.currentThread().getName()));
    String seen = store.create("k/t", ONE).thenApply(v -> Thread.currentThread().getName()).join();
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

  /** Waits for a call to complete and returns the kind of its failure, if any. */
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
