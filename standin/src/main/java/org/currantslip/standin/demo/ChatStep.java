package org.currantslip.standin.demo;

import java.util.List;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;

/** Checks chat requests through a cascade, in sessions and with errors that must be refused. */
final class ChatStep {
  private static final int STREAMED_CHATS = 12;
  private static final String SESSION_HEADER = "Currantslip-Session";
  private static final String TOKEN_HEADER = "Currantslip-Session-Token";
  private static final String MODEL_HEADER = "Currantslip-Model";
  private static final String VERSION_HEADER = "Currantslip-Version";

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

  /** Runs the step and returns the id of a request that the second node answered. */
  String run() {
    checkCompleteAnswer();
    String requestId = checkStreams();
    checkSession();
    checkRefusals();
    return requestId;
  }

  private void checkCompleteAnswer() {
    String prompt = plan.prompt() + " (whole)";
    CallerAnswer answer = client.ask(chat(0, "auto", prompt, false));
    checks.that(
        "chat through the cascade of task "
            + plan.task()
            + " returns the complete answer to its prompt",
        answer.isCompleteAnswerTo(prompt) && answer.ran().equals("yes"),
        answer);
    checks.that(
        "the answer names request, model, version, configuration and rule lines",
        List.of("Request-Id", "Model", "Version", "Config-Version", "Rule-Lines").stream()
            .noneMatch(h -> answer.header("Currantslip-" + h).isEmpty()),
        answer.headers().toString());
  }

  private String checkStreams() {
    int complete = 0;
    CallerAnswer last = client.ask(chat(1, "auto", plan.prompt(), true));
    String requestId = last.requestId();
    for (int i = 0; i < STREAMED_CHATS; i++) {
      String prompt = plan.prompt() + " (" + i + ")";
      last = client.ask(chat(i, "auto", prompt, true));
      complete += last.isCompleteAnswerTo(prompt) && last.isStream() ? 1 : 0;
    }
    checks.that(
        STREAMED_CHATS + " streamed chats over all nodes return complete answers to their prompts",
        complete == STREAMED_CHATS,
        complete + " complete; last: " + last.describe());
    return requestId;
  }

  private void checkSession() {
    CallerAnswer first =
        client.ask(chat(0, "auto", plan.prompt(), false).with(SESSION_HEADER, "crew-1"));
    CallerAnswer second =
        client.ask(
            chat(1, first.header(MODEL_HEADER), plan.prompt(), false)
                .with(SESSION_HEADER, "crew-1")
                .with(TOKEN_HEADER, first.header(TOKEN_HEADER)));
    checks.that(
        "a session keeps its version at another node",
        !first.header(TOKEN_HEADER).isEmpty()
            && second.status() == 200
            && second.header(VERSION_HEADER).equals(first.header(VERSION_HEADER))
            && !second.header("Currantslip-Session-Moved").equals("true"),
        first.describe() + " then " + second.describe());
  }

  private void checkRefusals() {
    checkRefused(ResultCode.TOKEN_WRONG, "a wrong token", chatAs("no-such-token-000000", "auto"));
    checkRefused(
        ResultCode.MODEL_UNKNOWN, "an unknown model", chatAs(plan.token(), "no-such-model"));
    checkRefused(
        ResultCode.MODEL_NOT_ALLOWED,
        "a model that the account may not use",
        chatAs(plan.otherToken(), plan.largeModel()));
    CallerCall malformed = chatAs(plan.token(), "auto");
    checkRefused(
        ResultCode.BODY_MALFORMED,
        "a malformed body",
        new CallerCall(
            malformed.address(), malformed.method(), malformed.path(), malformed.headers(), "{"));
    checkRefused(
        ResultCode.DEADLINE_PASSED,
        "a passed deadline",
        chatAs(plan.token(), "auto").with("Currantslip-Deadline-Ms", "0"));
  }

  private void checkRefused(ResultCode code, String description, CallerCall call) {
    CallerAnswer answer = client.ask(call);
    checks.that(
        description + " is refused with " + code.number() + " and ran=no",
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
