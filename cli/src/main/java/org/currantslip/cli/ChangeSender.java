package org.currantslip.cli;

import com.google.common.collect.ImmutableList;
import java.security.SecureRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleDiff;
import org.currantslip.schema.AcceptedConfig;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.ApplyRequest;
import org.currantslip.schema.ConfigReply;

/**
 * Applies new rules on top of the configuration in force and reports on which nodes they took
 * effect.
 */
final class ChangeSender {
  private static final SecureRandom RANDOM = new SecureRandom();

  private final CliContext context;

  private ChangeSender(CliContext context) {
    this.context = context;
  }

  static ChangeSender create(CliContext context) {
    return new ChangeSender(context);
  }

  /** Returns the configuration in force. */
  AcceptedConfig current() throws Exception {
    return context.client().get("config", ConfigReply.getDefaultInstance()).getConfig();
  }

  /**
   * Applies new rules and waits until they are in force.
   *
   * @param askedBy who requested the change; if empty, the names in the comments of the changed
   *     lines
   */
  ExitCode send(AcceptedConfig base, String text, String askedBy, boolean dryRun, int waitMs)
      throws Exception {
    RuleDiff diff =
        RuleDiff.between(
            CliContext.parse(base.getRulesText(), "configuration " + base.getVersion()),
            CliContext.parse(text, "rules"));
    ApplyRequest request =
        ApplyRequest.newBuilder()
            .setBaseVersion(base.getVersion())
            .setRulesText(text)
            .setAskedBy(askedBy.isBlank() ? requesters(diff) : askedBy)
            .setDryRun(dryRun)
            .setWaitMs(waitMs)
            .setNonce(RANDOM.nextLong() | 1)
            .build();
    ApplyReply reply =
        context.client().post("apply", request, ApplyReply.getDefaultInstance(), waitMs);
    context.output().show(reply, () -> print(reply, diff, dryRun));
    return reply.getMissingOnCount() == 0 ? ExitCode.OK : ExitCode.NOT_EVERYWHERE;
  }

  private void print(ApplyReply reply, RuleDiff diff, boolean dryRun) {
    Output output = context.output();
    output.view(reply.getView());
    diff.lines().forEach(l -> output.line("%s", l));
    if (dryRun) {
      output.line("dry run: nothing was changed");
      return;
    }
    output.line(
        "configuration %d is in force on %d nodes after %d ms",
        reply.getVersion(), reply.getInForceOnCount(), reply.getElapsedMs());
    if (reply.getMissingOnCount() > 0) {
      output.line("not yet in force on: %s", String.join(", ", reply.getMissingOnList()));
    }
  }

  private static String requesters(RuleDiff diff) {
    ImmutableList<String> names =
        Stream.of(diff.added(), diff.commentChanged())
            .flatMap(ImmutableList::stream)
            .map(Rule::origin)
            .map(Rule.Origin::askedBy)
            .distinct()
            .sorted()
            .collect(ImmutableList.toImmutableList());
    if (names.isEmpty()) {
      throw CliException.of(
          ResultCode.ASKER_MISSING, "no changed line names a requester; set one with --asked-by");
    }
    return names.stream().collect(Collectors.joining(", "));
  }
}
