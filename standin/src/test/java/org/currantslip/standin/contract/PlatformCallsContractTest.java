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
  private static final long SHORT_TIMEOUT_MS = 500;
  private static final long LONG_TIMEOUT_MS = 20_000;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private ContractFixture fixture;

  @BeforeEach
  void start() {
    fixture = new ContractFixture();
  }

  @AfterEach
  void stop() throws InterruptedException {
    fixture.close();
  }

  @Test
  void vmListLags() {
    VmList first = VmList.newBuilder().setVersion(1).addEndpoint(ContractFixture.engine(1)).build();
    int port = fixture.add(VmListApp.create(clock, LAG_MS, first));
    VmListClient client =
        VmListClient.create(fixture.http, ContractFixture.uri(port), fixture.executor);
    assertThat(client.fetch().join()).isEqualTo(first);
    assertThat(fixture.control(port, "POST", "/vms/leaving", "{\"id\":\"e1\"}").status())
        .isEqualTo(200);
    clock.advance(LAG_MS - 1);
    assertThat(client.fetch().join().getEndpoint(0).getLeaving()).isFalse();
    clock.advance(1);
    assertThat(client.fetch().join().getEndpoint(0).getLeaving()).isTrue();
    assertThat(fixture.control(port, "POST", "/vms/leaving", "{\"id\":\"e9\"}").status())
        .isEqualTo(404);
    assertThat(fixture.control(port, "PUT", "/vms", "{\"endpoint\":[]}").status()).isEqualTo(200);
    clock.advance(LAG_MS);
    assertThat(client.fetch().join().getEndpointCount()).isEqualTo(0);
  }

  @Test
  void ratingsComeOnceInOrderAfterTheirLag() {
    int port = fixture.add(RatingApp.create(clock, LAG_MS));
    RatingClient client =
        RatingClient.create(fixture.http, ContractFixture.uri(port), fixture.executor);
    fixture.control(port, "POST", "/ratings", "{\"request_id\":\"r1\",\"good\":true}");
    fixture.control(port, "POST", "/ratings", "{\"request_id\":\"r2\",\"good\":false}");
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
    int port = fixture.add(WeightStoreApp.create(fixture.server.delays(), 1, 0));
    WeightStoreClient client =
        WeightStoreClient.create(fixture.http, ContractFixture.uri(port), fixture.executor);
    assertThat(client.fetch("m", "v1").join()).isTrue();
    boolean refused = false;
    while (!refused) {
      refused = !client.fetch("m", "v1").join();
    }
    String calls = fixture.control(port, "GET", "/calls", "").body();
    assertThat(calls).contains("\"refused\":1");
  }

  @Test
  void loadReportIsOfTheEndpointAskedFor() {
    LoadReportClient client = LoadReportClient.create(fixture.http, fixture.executor);
    int port = engine(true);
    assertThat(client.fetch(ContractFixture.engine(port)).join().endpointId()).isEqualTo("e1");
    assertThat(client.fetch(ContractFixture.engine(port)).join().reportedMs())
        .isEqualTo(clock.nowMs());
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
    int vms = fixture.add(VmListApp.create(clock, 0, VmList.getDefaultInstance()));
    int ratings = fixture.add(RatingApp.create(clock, 0));
    int weights = fixture.add(WeightStoreApp.create(fixture.server.delays(), 0, 0));
    int engine = engine(true);
    List<Supplier<CompletableFuture<?>>> calls =
        List.of(
            () ->
                VmListClient.create(fixture.http, ContractFixture.uri(vms), fixture.executor)
                    .fetch(),
            () ->
                RatingClient.create(fixture.http, ContractFixture.uri(ratings), fixture.executor)
                    .fetchAfter(0),
            () ->
                WeightStoreClient.create(
                        fixture.http, ContractFixture.uri(weights), fixture.executor)
                    .fetch("m", "v"),
            () ->
                LoadReportClient.create(fixture.http, fixture.executor)
                    .fetch(ContractFixture.engine(engine)));
    List.of(vms, ratings, weights, engine)
        .forEach(port -> fixture.setFaults(port, faults.replace('\'', '"')));
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
        HttpEngineCommandSender.create(fixture.http, fixture.executor, LONG_TIMEOUT_MS);
    assertThat(commandSender.send(ContractFixture.engine(port), load("v2", 7)).join())
        .isEqualTo(CommandResult.DONE);
    assertThat(commandSender.send(ContractFixture.engine(port), load("v3", 6)).join())
        .isEqualTo(expected);
    String history = fixture.control(port, "GET", "/orders", "").body();
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
    fixture.setFaults(port, faults.replace('\'', '"'));
    EngineCommandSender commandSender =
        HttpEngineCommandSender.create(fixture.http, fixture.executor, timeoutMs(faults));
    assertThat(commandSender.send(ContractFixture.engine(port), load("v2", 1)).join())
        .isEqualTo(expected);
    String history = fixture.control(port, "GET", "/orders", "").body();
    assertThat(history.contains("v2")).isEqualTo(carriedOut);
  }

  private static long timeoutMs(String faults) {
    return faults.contains("silent") || faults.contains("late")
        ? SHORT_TIMEOUT_MS
        : LONG_TIMEOUT_MS;
  }

  private int engine(boolean checksFencing) {
    return fixture.add(
        ModelEngine.create(
            ContractFixture.engineOptions(checksFencing, 1), clock, fixture.server.delays()));
  }

  private static EngineCommand load(String version, long fencing) {
    return new EngineCommand(EngineCommand.Kind.LOAD, "m", version, fencing);
  }
}
