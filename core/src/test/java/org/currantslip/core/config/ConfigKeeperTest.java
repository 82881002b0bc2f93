package org.currantslip.core.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FakeObjectStore.Call;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.schema.AcceptedConfig;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.AuditRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ConfigKeeperTest {
  private static final long CONVERGE_MS = 3_000;

  private final ConfigFleet fleet = ConfigFleet.of(6, 4);

  @Test
  void applyReportsAllNodesInForce() {
    fleet.run(100);
    ApplyReply reply = await(fleet.apply("n000", 0, ConfigFleet.rules("a")));
    assertThat(reply.getVersion()).isEqualTo(1);
    assertThat(reply.getInForceOnList()).hasSize(6);
    assertThat(reply.getMissingOnList()).isEmpty();
    assertThat(fleet.everywhere(1)).isTrue();
  }

  @Test
  void reportsFrozenNodeAsMissing() {
    fleet.run(100);
    fleet.freeze("n003");
    ApplyReply reply = await(fleet.apply("n000", 0, ConfigFleet.rules("a")));
    assertThat(reply.getMissingOnList()).containsExactly("n003");
    assertThat(reply.getInForceOnList()).hasSize(5);
    fleet.thaw("n003");
    assertThat(fleet.runUntil(() -> fleet.everywhere(1), CONVERGE_MS)).isTrue();
  }

  @Test
  void conflictNamesTheWinnerAndTheDiff() {
    fleet.run(100);
    CompletableFuture<ApplyReply> first = fleet.apply("n000", 0, ConfigFleet.rules("a"));
    CompletableFuture<ApplyReply> second = fleet.apply("n005", 0, ConfigFleet.rules("b"));
    fleet.runUntil(() -> first.isDone() && second.isDone(), 20_000);
    CompletableFuture<ApplyReply> loser = first.isCompletedExceptionally() ? first : second;
    assertThat(first.isCompletedExceptionally()).isNotEqualTo(second.isCompletedExceptionally());
    ApplyException failure = failure(loser);
    assertThat(failure.code()).isEqualTo(ResultCode.CONFIG_CONFLICT);
    assertThat(failure.detail()).contains("configuration 1 was applied by op for Ana");
    assertThat(failure.detail()).contains("- serve model=m");
    assertThat(failure.detail()).contains("+ serve model=m");
  }

  @ParameterizedTest
  @CsvSource({
    "GET, config/accepted, NOT_DONE",
    "GET, config/accepted, SILENT",
    "GET, config/accepted, SLOW",
    "CREATE, audit/, LOST_CALL",
    "CREATE, audit/, LOST_ANSWER",
    "CREATE, audit/, NOT_DONE",
    "CREATE, audit/, SILENT",
    "CREATE, config/accepted, LOST_CALL",
    "CREATE, config/accepted, LOST_ANSWER",
    "CREATE, config/accepted, NOT_DONE",
    "CREATE, config/accepted, CONFLICT",
    "CREATE, config/accepted, SLOW",
    "CREATE, config/accepted, SILENT",
    "CREATE, config/accepted, LATE_EFFECT",
    "CREATE, config/history, LOST_CALL",
    "CREATE, config/history, LOST_ANSWER",
  })
  void resolvesEachFaultOfOneStoreCall(Call call, String name, StoreFault fault) throws Exception {
    fleet.run(100);
    fleet.store.inject(call, name, fault);
    ApplyReply reply = await(fleet.apply("n000", 0, ConfigFleet.rules("a")));
    assertThat(reply.getVersion()).isEqualTo(1);
    assertThat(reply.getMissingOnList()).isEmpty();
    fleet.run(30_000);
    ApplyReply next = await(fleet.apply("n001", 1, ConfigFleet.rules("b")));
    assertThat(next.getVersion()).isEqualTo(2);
    assertHistoryAndAuditComplete(2);
  }

  @Test
  void recognizesChangeResentThroughAnotherNode() {
    fleet.run(100);
    await(fleet.apply("n000", 0, ConfigFleet.rules("a"), 77));
    assertThat(await(fleet.apply("n001", 0, ConfigFleet.rules("a"), 77)).getVersion()).isEqualTo(1);
    await(fleet.apply("n000", 1, ConfigFleet.rules("b"), 78));
    assertThat(await(fleet.apply("n001", 0, ConfigFleet.rules("a"), 77)).getVersion()).isEqualTo(1);
    assertThat(fleet.everywhere(2)).isTrue();
  }

  @Test
  void distributesChangeWhoseWriterDiedBeforeAnnouncing() {
    fleet.run(6_000);
    final CompletableFuture<ApplyReply> lost = fleet.apply("n005", 0, ConfigFleet.rules("a"));
    fleet.runUntil(() -> !fleet.store.listDirectly(ConfigNames.ACCEPTED).isEmpty(), 1_000);
    fleet.kill("n005");
    assertThat(fleet.runUntil(() -> fleet.everywhere(1), CONVERGE_MS)).isTrue();
    assertThat(lost.isDone()).isFalse();
  }

  @Test
  void pullsConfigurationFromPeersWhenStartingDuringAnOutage() {
    fleet.run(100);
    await(fleet.apply("n000", 0, ConfigFleet.rules("a")));
    fleet.store.setUnavailable(true);
    ConfigFleet.Member newNode = fleet.start("n006");
    assertThat(newNode.configManager.isFresh()).isFalse();
    assertThat(fleet.runUntil(() -> newNode.configManager.current().version() == 1, CONVERGE_MS))
        .isTrue();
    assertThat(fleet.runUntil(newNode.configManager::isFresh, CONVERGE_MS)).isTrue();
  }

  @Test
  void staysFreshThroughAnOutageWhileMostPeersAgree() {
    fleet.run(100);
    await(fleet.apply("n000", 0, ConfigFleet.rules("a")));
    fleet.store.setUnavailable(true);
    fleet.run(10 * ConfigFleet.FRESH_MS);
    fleet.members.values().forEach(m -> assertThat(m.configManager.isFresh()).isTrue());
    fleet.store.setUnavailable(false);
    fleet.run(2_000);
    await(fleet.apply("n000", 1, ConfigFleet.rules("b")));
  }

  @Test
  void isNotFreshAfterTheBoundWithoutStoreAndPeers() {
    fleet.run(100);
    await(fleet.apply("n000", 0, ConfigFleet.rules("a")));
    ConfigFleet.Member cut = isolate("n003");
    assertThat(fleet.runUntil(() -> !cut.configManager.isFresh(), 3 * ConfigFleet.FRESH_MS))
        .isTrue();
    assertThat(fleet.member("n000").configManager.isFresh()).isTrue();
  }

  @Test
  void isNotFreshAfterLongFreeze() {
    fleet.run(100);
    await(fleet.apply("n000", 0, ConfigFleet.rules("a")));
    fleet.freeze("n003");
    fleet.run(2 * ConfigFleet.FRESH_MS);
    await(fleet.apply("n000", 1, ConfigFleet.rules("b")));
    ConfigFleet.Member thawed = fleet.member("n003");
    assertThat(thawed.configManager.isFresh()).isFalse();
    fleet.thaw("n003");
    boolean staleAndFresh =
        fleet.runUntil(
            () -> thawed.configManager.isFresh() && thawed.configManager.current().version() < 2,
            CONVERGE_MS);
    assertThat(staleAndFresh).isFalse();
    assertThat(thawed.configManager.current().version()).isEqualTo(2);
  }

  @Test
  void rejectsChangesOnNodeWithoutMajority() {
    fleet.run(1_000);
    ConfigFleet.Member cut = fleet.member("n003");
    fleet.members.keySet().stream().filter(n -> !n.equals("n003")).forEach(cut.membership::suspect);
    fleet.run(1_000);
    CompletableFuture<ApplyReply> refused = fleet.apply("n003", 0, ConfigFleet.rules("a"));
    assertThat(failure(refused).code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
    assertThat(fleet.store.listDirectly("config/")).isEmpty();
  }

  @Test
  void reportsStoreOutage() {
    fleet.run(100);
    fleet.store.setUnavailable(true);
    CompletableFuture<ApplyReply> refused = fleet.apply("n000", 0, ConfigFleet.rules("a"));
    fleet.runUntil(refused::isDone, 30_000);
    assertThat(failure(refused).code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
  }

  @Test
  void doesNotAdoptUnparsableRules() {
    fleet.run(100);
    await(fleet.apply("n000", 0, ConfigFleet.rules("a")));
    AcceptedConfig bad = AcceptedConfig.newBuilder().setVersion(2).setRulesText("nonsense").build();
    fleet.store.putDirectly(ConfigNames.ACCEPTED, bad.toByteString());
    fleet.member("n001").configManager.onConfig(bad);
    fleet.run(3 * ConfigFleet.FRESH_MS);
    fleet
        .members
        .values()
        .forEach(m -> assertThat(m.configManager.current().version()).isEqualTo(1));
  }

  private ConfigFleet.Member isolate(String name) {
    ConfigFleet.Member cut = fleet.member(name);
    cut.link.setCut(true);
    fleet.members.keySet().forEach(n -> fleet.network.setCut(name, n, true));
    return cut;
  }

  private void assertHistoryAndAuditComplete(long version) throws InvalidProtocolBufferException {
    fleet.run(1_000);
    for (long v = 1; v <= version; v++) {
      AcceptedConfig archived =
          AcceptedConfig.parseFrom(
              fleet.store.listDirectly(ConfigNames.historyName(v)).get(0).value());
      assertThat(archived.getVersion()).isEqualTo(v);
      AuditRecord audit =
          AuditRecord.parseFrom(
              fleet.store.listDirectly(ConfigNames.auditName(archived)).get(0).value());
      assertThat(audit.getAskedBy()).isEqualTo("Ana");
      assertThat(audit.getNonce()).isEqualTo(archived.getNonce());
    }
  }

  private ApplyReply await(CompletableFuture<ApplyReply> apply) {
    assertThat(fleet.runUntil(apply::isDone, 60_000)).isTrue();
    return apply.join();
  }

  private static ApplyException failure(CompletableFuture<ApplyReply> apply) {
    CompletionException failure = assertThrows(CompletionException.class, apply::join);
    if (failure.getCause() instanceof ApplyException refused) {
      return refused;
    }
    throw failure;
  }
}
