package org.currantslip.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.DecisionRecord;
import org.currantslip.schema.WhyReply;

/** Shows the rule lines and comments that allowed or rejected a request. */
final class WhyCommand implements Command {
  @Override
  public String name() {
    return "why";
  }

  @Override
  public String help() {
    return "show the rule lines and comments that allowed or rejected a request";
  }

  @Override
  public String example() {
    return "currantslip why node-1.k2.7f";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser
        .addArgument("request_id")
        .metavar("REQUEST-ID")
        .help("request id from the response header");
    parser
        .addArgument("--logs")
        .metavar("FILE")
        .help("search these node logs instead of querying a node; - reads standard input");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    String logs = args.getString("logs");
    if (logs != null) {
      return fromLogs(logs, args.getString("request_id"), context);
    }
    String id = URLEncoder.encode(args.getString("request_id"), StandardCharsets.UTF_8);
    WhyReply reply = context.client().get("why/" + id, WhyReply.getDefaultInstance());
    context.output().show(reply, () -> print(context.output(), reply));
    return ExitCode.OK;
  }

  private static ExitCode fromLogs(String file, String request, CliContext context)
      throws IOException {
    try (BufferedReader reader = CliContext.open(file)) {
      RequestLog requestLog = RequestLog.read(reader, request);
      if (requestLog.isEmpty()) {
        throw CliException.of(
            ResultCode.NOT_FOUND, "no log line for request " + request + " in " + file);
      }
      requestLog.lines().forEach(l -> context.output().line("%s", l));
    }
    return ExitCode.OK;
  }

  private static void print(Output output, WhyReply reply) {
    DecisionRecord decision = reply.getDecision();
    output.view(reply.getView());
    output.line("request %s of %s", decision.getRequestId(), decision.getAccount());
    output.line(
        "result %d %s, ran: %s, at %s on %s",
        decision.getResultCode(),
        ResultCode.ofNumber(decision.getResultCode()).map(Enum::name).orElse("?"),
        decision.getRan(),
        Instant.ofEpochMilli(decision.getAtMs()),
        decision.getNode());
    if (!decision.getModel().isEmpty()) {
      output.line("model %s, version %s", decision.getModel(), decision.getVersion());
    }
    output.line("configuration %d", decision.getConfigVersion());
    for (int i = 0; i < decision.getRuleTextCount(); i++) {
      String line = i < decision.getRuleLineCount() ? "" + decision.getRuleLine(i) : "?";
      output.line("  line %s: %s", line, decision.getRuleText(i));
    }
  }
}
