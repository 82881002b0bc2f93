package org.currantslip.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.rules.RuleDiff;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.schema.ConfigReply;
import org.currantslip.schema.DiffReply;
import org.jspecify.annotations.Nullable;

/**
 * Shows the semantic difference between a rules file and the configuration in force or another
 * file.
 */
final class DiffCommand implements Command {
  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String help() {
    return "show semantic differences between a rules file and the one in force or another file";
  }

  @Override
  public String example() {
    return "currantslip diff rules.txt --from old-rules.txt";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.addArgument("file").help("rules file");
    parser
        .addArgument("--from")
        .help("rules file to compare with instead of the configuration in force");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    String file = args.getString("file");
    RuleSet to = CliContext.parse(CliContext.read(file), file);
    @Nullable String fromFile = args.getString("from");
    DiffReply.Builder reply = DiffReply.newBuilder();
    RuleSet from;
    if (fromFile == null) {
      ConfigReply config = context.client().get("config", ConfigReply.getDefaultInstance());
      reply.setView(config.getView());
      from = CliContext.parse(config.getConfig().getRulesText(), "configuration in force");
    } else {
      from = CliContext.parse(CliContext.read(fromFile), fromFile);
    }
    RuleDiff diff = RuleDiff.between(from, to);
    reply.addAllLine(diff.lines());
    context.output().show(reply.build(), () -> print(context.output(), reply));
    return ExitCode.OK;
  }

  private static void print(Output output, DiffReply.Builder reply) {
    if (reply.hasView()) {
      output.view(reply.getView());
    }
    reply.getLineList().forEach(l -> output.line("%s", l));
    if (reply.getLineCount() == 0) {
      output.line("no differences");
    }
  }
}
