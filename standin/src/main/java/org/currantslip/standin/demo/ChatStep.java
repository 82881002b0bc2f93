package org.currantslip.standin.demo;

import java.util.List;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;

/** Sends chat requests through a cascade, and some that must be refused. */
final class ChatStep {
  private static final int CHATS = 12;
  private static final String SESSION = "Currantslip-Session";
  private static final String TOKEN = "Currantslip-Session-Token";
  private static final String MODEL = "Currantslip-Model";
  private static final String VERSION = "Currantslip-Version";

  private final DemoPlan plan;
  private final DemoCaller client;
  private final Checks checks;

  private ChatStep(DemoPlan plan, DemoCaller client, Checks checks) {
    this.plan = plan;
    this.client = client;
    this.checks = checks;
  }

  static ChatStep create(DemoPlan plan, DemoCaller client, Checks checks) {
    return new ChatStep(plan, client, checks);
  }

  /** Returns the id of a request that the second node answered. */
  String run() {
    whole();
    String requestId = streamed();
    session();
    refusals();
    return requestId;
  }

  private void whole() {
    String prompt = plan.prompt() + " (whole)";
    CallerAnswer answer = client.ask(chat(0, "auto", prompt, false));
    checks.that(
        "chat through the cascade of task " + plan.task() + " gives a whole answer of its own",
        answer.isWholeAnswerTo(prompt) && answer.ran().equals("yes"),
        answer);
    checks.that(
        "the answer names request, model, version, configuration and rule lines",
        List.of("Request-Id", "Model", "Version", "Config-Version", "Rule-Lines").stream()
            .noneMatch(h -> answer.header("Currantslip-" + h).isEmpty()),
        answer.headers().toString());
  }

  private String streamed() {
    int whole = 0;
    CallerAnswer last = client.ask(chat(1, "auto", plan.prompt(), true));
    String requestId = last.requestId();
    for (int i = 0; i < CHATS; i++) {
      String prompt = plan.prompt() + " (" + i + ")";
      last = client.ask(chat(i, "auto", prompt, true));
      whole += last.isWholeAnswerTo(prompt) && last.isStream() ? 1 : 0;
    }
    checks.that(
        CHATS + " streamed chats over all nodes are whole and their own",
        whole == CHATS,
        whole + " whole; last: " + last.describe());
    return requestId;
  }

  private void session() {
    CallerAnswer first = client.ask(chat(0, "auto", plan.prompt(), false).with(SESSION, "crew-1"));
    CallerAnswer second =
        client.ask(
            chat(1, first.header(MODEL), plan.prompt(), false)
                .with(SESSION, "crew-1")
                .with(TOKEN, first.header(TOKEN)));
    checks.that(
        "a session keeps its version at another node",
        !first.header(TOKEN).isEmpty()
            && second.status() == 200
            && second.header(VERSION).equals(first.header(VERSION))
            && !second.header("Currantslip-Session-Moved").equals("true"),
        first.describe() + " then " + second.describe());
  }

  private void refusals() {
    refused(ResultCode.TOKEN_WRONG, "a wrong token", chatAs("no-such-token-000000", "auto"));
    refused(ResultCode.MODEL_UNKNOWN, "an unknown model", chatAs(plan.token(), "no-such-model"));
    refused(
        ResultCode.MODEL_NOT_ALLOWED,
        "a model that the account may not use",
        chatAs(plan.otherToken(), plan.largeModel()));
    CallerCall malformed = chatAs(plan.token(), "auto");
    refused(
        ResultCode.BODY_MALFORMED,
        "a malformed body",
        new CallerCall(
            malformed.address(), malformed.method(), malformed.path(), malformed.headers(), "{"));
    refused(
        ResultCode.DEADLINE_PASSED,
        "a passed deadline",
        chatAs(plan.token(), "auto").with("Currantslip-Deadline-Ms", "0"));
  }

  private void refused(ResultCode code, String what, CallerCall call) {
    CallerAnswer answer = client.ask(call);
    checks.that(
        what + " is refused with " + code.number() + " and ran=no",
        answer.code() == code.number() && answer.ran().equals("no"),
        answer);
  }

  private CallerCall chatAs(String token, String model) {
    return CallerCall.chat(plan.nodes().get(0).address(), token, model, plan.prompt(), false)
        .with("Currantslip-Task", plan.task());
  }

  private CallerCall chat(int index, String model, String prompt, boolean stream) {
    String address = plan.nodes().get(index % plan.nodes().size()).address();
    return CallerCall.chat(address, plan.token(), model, prompt, stream)
        .with("Currantslip-Task", plan.task());
  }
}
