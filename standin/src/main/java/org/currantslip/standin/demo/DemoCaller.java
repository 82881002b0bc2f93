package org.currantslip.standin.demo;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;
import org.currantslip.standin.caller.CallerClient;

/** Sends calls to nodes and records the ids of answered requests, which must be billed. */
final class DemoCaller {
  private final CallerClient client;
  private final List<String> answered = new CopyOnWriteArrayList<>();

  private DemoCaller(CallerClient client) {
    this.client = client;
  }

  static DemoCaller create(CallerClient client) {
    return new DemoCaller(client);
  }

  CallerAnswer ask(CallerCall call) {
    return send(call, part -> {}).join();
  }

  CompletableFuture<CallerAnswer> send(CallerCall call, Consumer<String> onPart) {
    return client.send(call, onPart).thenApply(this::recordAnswered);
  }

  /** Returns the ids of the answered requests. */
  List<String> answered() {
    return List.copyOf(answered);
  }

  private CallerAnswer recordAnswered(CallerAnswer answer) {
    boolean executed =
        answer.failure().isEmpty()
            && answer.code() == ResultCode.OK.number()
            && answer.ran().equals("yes")
            && !answer.header("Currantslip-Replayed").equals("true");
    if (executed) {
      answered.add(answer.requestId());
    }
    return answer;
  }
}
