package org.currantslip.standin.contract;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.currantslip.adapter.endpoint.LoadReportClient;
import org.currantslip.adapter.engine.CommandResult;
import org.currantslip.adapter.engine.EngineCommand;
import org.currantslip.adapter.engine.EngineCommandSender;
import org.currantslip.adapter.engine.HttpEngineCommandSender;
import org.currantslip.adapter.http.PlatformException;
import org.currantslip.adapter.rating.Rating;
import org.currantslip.adapter.rating.RatingClient;
import org.currantslip.adapter.vmlist.VmListClient;
import org.currantslip.adapter.weights.WeightStoreClient;
import org.currantslip.core.common.ManualClock;
import org.currantslip.schema.VmList;
import org.currantslip.standin.engine.ModelEngine;
import org.currantslip.standin.rating.RatingApp;
import org.currantslip.standin.vmlist.VmListApp;
import org.currantslip.standin.weights.WeightStoreApp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class PlatformCallsContractTest {
  private static final long LAG_MS = 500;
  private static final long HASTY_MS = 500;
  private static final long PATIENT_MS = 20_000;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private Bench bench;

  @BeforeEach
  void start() {
    bench = new Bench();
  }

  @AfterEach
  void stop() throws InterruptedException {
    bench.close();
  }

  @Test
  void vmListLags() {
    VmList first = VmList.newBuilder().setVersion(1).addEndpoint(Bench.engine(1)).build();
    int port = bench.add(VmListApp.create(clock, LAG_MS, first));
    VmListClient client = VmListClient.create(bench.http, Bench.uri(port), bench.decisions);
    assertThat(client.fetch().join()).isEqualTo(first);
    assertThat(bench.control(port, "POST", "/vms/leaving", "{\"id\":\"e1\"}").status())
        .isEqualTo(200);
    clock.advance(LAG_MS - 1);
    assertThat(client.fetch().join().getEndpoint(0).getLeaving()).isFalse();
    clock.advance(1);
    assertThat(client.fetch().join().getEndpoint(0).getLeaving()).isTrue();
    assertThat(bench.control(port, "POST", "/vms/leaving", "{\"id\":\"e9\"}").status())
        .isEqualTo(404);
    assertThat(bench.control(port, "PUT", "/vms", "{\"endpoint\":[]}").status()).isEqualTo(200);
    clock.advance(LAG_MS);
    assertThat(client.fetch().join().getEndpointCount()).isEqualTo(0);
  }

  @Test
  void ratingsComeOnceInOrderAfterTheirLag() {
    int port = bench.add(RatingApp.create(clock, LAG_MS));
    RatingClient client = RatingClient.create(bench.http, Bench.uri(port), bench.decisions);
    bench.control(port, "POST", "/ratings", "{\"request_id\":\"r1\",\"good\":true}");
    bench.control(port, "POST", "/ratings", "{\"request_id\":\"r2\",\"good\":false}");
    assertThat(client.fetchAfter(0).join()).isEmpty();
    clock.advance(LAG_MS);
    List<Rating> all = client.fetchAfter(0).join();
    assertThat(all)
        .containsExactly(new Rating("r1", true, 1), new Rating("r2", false, 2))
        .inOrder();
    assertThat(client.fetchAfter(1).join()).containsExactly(all.get(1));
    assertThat(client.fetchAfter(2).join()).isEmpty();
  }

  @Test
  void weightStoreRefusesOverItsRate() {
    int port = bench.add(WeightStoreApp.create(bench.server.delays(), 1, 0));
    WeightStoreClient client =
        WeightStoreClient.create(bench.http, Bench.uri(port), bench.decisions);
    assertThat(client.fetch("m", "v1").join()).isTrue();
    boolean refused = false;
    while (!refused) {
      refused = !client.fetch("m", "v1").join();
    }
    String calls = bench.control(port, "GET", "/calls", "").body();
    assertThat(calls).contains("\"refused\":1");
  }

  @Test
  void loadReportIsOfTheEndpointAskedFor() {
    LoadReportClient client = LoadReportClient.create(bench.http, bench.decisions);
    int port = engine(true);
    assertThat(client.fetch(Bench.engine(port)).join().endpointId()).isEqualTo("e1");
    assertThat(client.fetch(Bench.engine(port)).join().reportedMs()).isEqualTo(clock.nowMs());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{'down':true}",
        "{'refuse':true}",
        "{'error_share':1}",
        "{'truncate':true}",
        "{'lose_answer_after_effect':true}",
      })
  void faultyAnswersFail(String faults) {
    int vms = bench.add(VmListApp.create(clock, 0, VmList.getDefaultInstance()));
    int ratings = bench.add(RatingApp.create(clock, 0));
    int weights = bench.add(WeightStoreApp.create(bench.server.delays(), 0, 0));
    int engine = engine(true);
    List<Supplier<CompletableFuture<?>>> calls =
        List.of(
            () -> VmListClient.create(bench.http, Bench.uri(vms), bench.decisions).fetch(),
            () ->
                RatingClient.create(bench.http, Bench.uri(ratings), bench.decisions).fetchAfter(0),
            () ->
                WeightStoreClient.create(bench.http, Bench.uri(weights), bench.decisions)
                    .fetch("m", "v"),
            () -> LoadReportClient.create(bench.http, bench.decisions).fetch(Bench.engine(engine)));
    List.of(vms, ratings, weights, engine)
        .forEach(port -> bench.setFaults(port, faults.replace('\'', '"')));
    for (Supplier<CompletableFuture<?>> call : calls) {
      CompletionException e =
          assertThrows(CompletionException.class, () -> call.get().join(), faults);
      assertThat(e).hasCauseThat().isInstanceOf(PlatformException.class);
    }
  }

  @ParameterizedTest
  @CsvSource({"true,FENCED,7", "false,DONE,6"})
  void oldFencingNumber(boolean checks, CommandResult expected, int lastFencing) {
    int port = engine(checks);
    EngineCommandSender commandSender =
        HttpEngineCommandSender.create(bench.http, bench.decisions, PATIENT_MS);
    assertThat(commandSender.send(Bench.engine(port), load("v2", 7)).join())
        .isEqualTo(CommandResult.DONE);
    assertThat(commandSender.send(Bench.engine(port), load("v3", 6)).join()).isEqualTo(expected);
    String history = bench.control(port, "GET", "/orders", "").body();
    assertThat(history).contains("\"fencing\":7");
    assertThat(history.contains("\"fencing\":6")).isEqualTo(lastFencing == 6);
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
  void orderUnderFault(String faults, CommandResult expected, boolean carriedOut) {
    int port = engine(true);
    bench.setFaults(port, faults.replace('\'', '"'));
    EngineCommandSender commandSender =
        HttpEngineCommandSender.create(bench.http, bench.decisions, timeoutMs(faults));
    assertThat(commandSender.send(Bench.engine(port), load("v2", 1)).join()).isEqualTo(expected);
    String history = bench.control(port, "GET", "/orders", "").body();
    assertThat(history.contains("v2")).isEqualTo(carriedOut);
  }

  private static long timeoutMs(String faults) {
    return faults.contains("silent") || faults.contains("late") ? HASTY_MS : PATIENT_MS;
  }

  private int engine(boolean checksFencing) {
    return bench.add(
        ModelEngine.create(Bench.engineOptions(checksFencing, 1), clock, bench.server.delays()));
  }

  private static EngineCommand load(String version, long fencing) {
    return new EngineCommand(EngineCommand.Kind.LOAD, "m", version, fencing);
  }
}
