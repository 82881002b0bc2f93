package org.currantslip.standin.demo;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;

/** Stops the running nodes while each of them streams an answer. */
final class StopStep {
  private static final long TIMEOUT_MS = 15_000;

  private StopStep() {}

  static void run(DemoPlan plan, int firstNode, DemoCaller client, Checks checks) {
    List<DemoPlan.NodeProcess> alive =
        plan.nodes().stream()
            .skip(firstNode)
            .filter(n -> ProcessHandle.of(n.pid()).map(ProcessHandle::isAlive).orElse(false))
            .toList();
    List<CompletableFuture<Void>> firstParts =
        alive.stream().map(n -> new CompletableFuture<Void>()).toList();
    List<CompletableFuture<CallerAnswer>> streams =
        IntStream.range(0, alive.size())
            .mapToObj(
                i ->
                    client.send(
                        CallerCall.chat(
                                alive.get(i).address(), plan.token(), "auto", plan.prompt(), true)
                            .with("Currantslip-Task", plan.task()),
                        part -> firstParts.get(i).complete(null)))
            .toList();
    for (int i = 0; i < alive.size(); i++) {
      CompletableFuture.anyOf(firstParts.get(i), streams.get(i)).join();
    }
    alive.forEach(n -> n.process().destroy());
    for (int i = 0; i < alive.size(); i++) {
      CallerAnswer answer = streams.get(i).join();
      checks.that(
          alive.get(i).name() + " completes its stream after SIGTERM",
          answer.isCompleteAnswerTo(plan.prompt()),
          answer);
    }
    boolean ended =
        Waiting.until(TIMEOUT_MS, () -> alive.stream().noneMatch(n -> isAlive(n.pid())));
    checks.that(alive.size() + " nodes end after SIGTERM", ended, "some are still running");
  }

  private static boolean isAlive(long pid) {
    return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
  }
}
