package org.currantslip.core.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.base.Throwables;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.schema.AcceptedConfig;
import org.currantslip.schema.ApplyReply;

/**
 * Runs random schedules of changes and faults, and checks the invariants after the faults have
 * ended.
 */
final class ConfigPropertyTest {
  private static final int STEPS = 60;
  private static final int NODES = 7;
  private static final long SETTLE_MS = 40_000;
  private static final long CONVERGE_MS = 3_000;

  private record Attempt(long nonce, CompletableFuture<ApplyReply> reply) {}

  @Property(tries = 60, seed = "20240613")
  void invariantsHoldUnderRandomFaults(@ForAll long seed) throws InvalidProtocolBufferException {
    Random random = new Random(seed);
    ConfigFleet fleet = ConfigFleet.of(NODES, 3);
    final List<Attempt> attempts = new ArrayList<>();
    fleet.run(200);
    fleet.store.setFaultPlan(FakeObjectStore.randomFaults(seed, 0.05));
    fleet.network.setLossPlan((from, to, frame) -> random.nextInt(10) == 0);
    for (int step = 0; step < STEPS; step++) {
      injectFault(fleet, random);
      submitChanges(fleet, random, attempts);
      fleet.run(random.nextInt(700));
    }
    endFaults(fleet);
    fleet.run(SETTLE_MS);
    Map<Long, Long> history = history(fleet);
    long newest = history.keySet().stream().mapToLong(v -> v).max().orElse(0);

    assertThat(fleet.reversions()).isEmpty();
    assertThat(history).hasSize((int) newest);
    attempts.forEach(a -> assertConsistent(a, history));
    assertWithMessage("convergence on %s", newest).that(fleet.everywhere(newest)).isTrue();
    CompletableFuture<ApplyReply> last = fleet.apply("n000", newest, ConfigFleet.rules("last"));
    assertThat(fleet.runUntil(() -> fleet.everywhere(newest + 1), CONVERGE_MS)).isTrue();
    assertThat(fleet.runUntil(last::isDone, CONVERGE_MS)).isTrue();
    assertThat(last.join().getMissingOnList()).isEmpty();
  }

  /** Asserts that an accepted change is in the history under its version and a conflict is not. */
  private static void assertConsistent(Attempt attempt, Map<Long, Long> history) {
    CompletableFuture<ApplyReply> reply = attempt.reply();
    if (!reply.isDone()) {
      return;
    }
    if (!reply.isCompletedExceptionally()) {
      assertThat(history.get(reply.join().getVersion())).isEqualTo(attempt.nonce());
    } else if (isConflict(reply)) {
      assertThat(history.values()).doesNotContain(attempt.nonce());
    }
  }

  private static boolean isConflict(CompletableFuture<ApplyReply> reply) {
    return reply
        .handle((r, failure) -> Throwables.getRootCause(failure))
        .thenApply(f -> f instanceof ApplyException e && e.code() == ResultCode.CONFIG_CONFLICT)
        .join();
  }

  private static void injectFault(ConfigFleet fleet, Random random) {
    String name = "n%03d".formatted(random.nextInt(NODES));
    boolean alive = fleet.members.containsKey(name);
    switch (random.nextInt(10)) {
      case 0 -> fleet.store.setUnavailable(true);
      case 1, 2 -> fleet.store.setUnavailable(false);
      case 3 -> {
        if (alive) {
          fleet.freeze(name);
        }
      }
      case 4, 5 -> fleet.members.keySet().forEach(fleet::thaw);
      case 6 -> {
        if (alive) {
          fleet.kill(name);
        }
      }
      case 7 -> {
        if (!alive) {
          fleet.start(name);
        }
      }
      case 8 -> fleet.network.setCut(name, "n%03d".formatted(random.nextInt(NODES)), true);
      default -> fleet.store.setLatencyMs(random.nextInt(800));
    }
  }

  private static void submitChanges(ConfigFleet fleet, Random random, List<Attempt> attempts) {
    List<ConfigFleet.Member> running =
        fleet.members.values().stream().filter(m -> !m.frozen).toList();
    for (int remaining = random.nextInt(3); remaining > 0 && !running.isEmpty(); remaining--) {
      ConfigFleet.Member member = running.get(random.nextInt(running.size()));
      long nonce = random.nextLong() | 1;
      CompletableFuture<ApplyReply> reply =
          fleet.apply(
              member.record.getId().getName(),
              member.configManager.current().version(),
              ConfigFleet.rules("v" + random.nextInt(1000)),
              nonce);
      attempts.add(new Attempt(nonce, reply));
    }
  }

  private static void endFaults(ConfigFleet fleet) {
    fleet.store.setUnavailable(false);
    fleet.store.setLatencyMs(5);
    fleet.store.setFaultPlan((call, name) -> StoreFault.NONE);
    fleet.network.setLossPlan((from, to, frame) -> false);
    for (int i = 0; i < NODES; i++) {
      for (int j = 0; j < NODES; j++) {
        fleet.network.setCut("n%03d".formatted(i), "n%03d".formatted(j), false);
      }
      String name = "n%03d".formatted(i);
      if (fleet.members.containsKey(name)) {
        fleet.thaw(name);
      } else {
        fleet.start(name);
      }
    }
  }

  /** Returns the nonce of each version that was ever accepted. */
  private static Map<Long, Long> history(ConfigFleet fleet) throws InvalidProtocolBufferException {
    Map<Long, Long> nonces = new HashMap<>();
    for (var object : fleet.store.listDirectly("config/")) {
      AcceptedConfig config = AcceptedConfig.parseFrom(object.value());
      Long other = nonces.put(config.getVersion(), config.getNonce());
      assertThat(other == null || other == config.getNonce()).isTrue();
    }
    return nonces;
  }
}
