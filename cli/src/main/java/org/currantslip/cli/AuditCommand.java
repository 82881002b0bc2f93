package org.currantslip.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.schema.AuditEntry;
import org.currantslip.schema.AuditRecord;
import org.currantslip.schema.AuditReply;

/** Lists the audit records of changes by operators. */
final class AuditCommand implements Command {
  @Override
  public String name() {
    return "audit";
  }

  @Override
  public String help() {
    return "list the audit records of operator actions, oldest first";
  }

  @Override
  public String example() {
    return "currantslip audit";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser
        .addArgument("--after")
        .setDefault("")
        .help("name of the last record on the previous page");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    String after = URLEncoder.encode(args.getString("after"), StandardCharsets.UTF_8);
    AuditReply reply =
        context.client().get("audit?after=" + after, AuditReply.getDefaultInstance());
    context.output().show(reply, () -> print(context.output(), reply));
    return ExitCode.OK;
  }

  private static void print(Output output, AuditReply reply) {
    output.view(reply.getView());
    for (AuditEntry entry : reply.getEntryList()) {
      AuditRecord audit = entry.getRecord();
      output.line(
          "%s %s %s, requested by %s, through %s: %s",
          Instant.ofEpochMilli(audit.getAtMs()),
          audit.getOperator(),
          audit.getAction(),
          audit.getAskedBy(),
          audit.getNode(),
          audit.getDetail());
    }
  }
}
