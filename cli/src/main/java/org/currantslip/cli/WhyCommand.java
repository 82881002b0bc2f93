package org.currantslip.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.DecisionRecord;
import org.currantslip.schema.WhyReply;

/** Shows the rule lines under which a request ran or was refused. */
final class WhyCommand implements Command {
  @Override
  public String name() {
    return "why";
  }

  @Override
  public String help() {
    return "show the rule lines and comments under which a request ran or was refused";
  }

  @Override
  public String example() {
    return "currantslip why node-1.k2.7f";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("request_id").metavar("REQUEST-ID").help("id from the answer's header");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    String id = URLEncoder.encode(args.getString("request_id"), StandardCharsets.UTF_8);
    WhyReply reply = context.client().get("why/" + id, WhyReply.getDefaultInstance());
    context.output().show(reply, () -> describe(context.output(), reply));
    return ExitCode.OK;
  }

  private static void describe(Output output, WhyReply reply) {
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
