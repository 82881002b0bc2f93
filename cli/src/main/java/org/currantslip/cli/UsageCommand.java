package org.currantslip.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.schema.AccountUsage;
import org.currantslip.schema.UsageReply;

/** Shows the billed usage of client accounts. */
final class UsageCommand implements Command {
  @Override
  public String name() {
    return "usage";
  }

  @Override
  public String help() {
    return "show stored usage by client account";
  }

  @Override
  public String example() {
    return "currantslip usage --account surveys";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser
        .addArgument("--account")
        .setDefault("")
        .help("show only this client account, with its requests");
    parser
        .addArgument("--since-ms")
        .type(Long.class)
        .setDefault(0L)
        .help("show only requests that finished at or after this time, in ms since the epoch");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    String account = URLEncoder.encode(args.getString("account"), StandardCharsets.UTF_8);
    String path = "usage?account=" + account + "&since_ms=" + args.getLong("since_ms");
    UsageReply reply = context.client().get(path, UsageReply.getDefaultInstance());
    context.output().show(reply, () -> print(context.output(), reply));
    return ExitCode.OK;
  }

  private static void print(Output output, UsageReply reply) {
    output.view(reply.getView());
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("account", "requests", "prompt tokens", "completion tokens", "cost micros"));
    reply.getAccountList().stream().map(UsageCommand::tableRow).forEach(rows::add);
    output.table(rows);
    reply
        .getRecordList()
        .forEach(
            r ->
                output.line(
                    "  %s task=%s stages=%d result=%s",
                    r.getRequestId(), r.getTask(), r.getStageCount(), r.getResult()));
  }

  private static List<String> tableRow(AccountUsage usage) {
    return List.of(
        usage.getAccount(),
        "" + usage.getRequests(),
        "" + usage.getPromptTokens(),
        "" + usage.getCompletionTokens(),
        "" + usage.getCostMicros());
  }
}
