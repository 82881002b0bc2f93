package org.currantslip.cli;

import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.schema.ApplyReply;

/** Checks a rules file without any node. */
final class CheckCommand implements Command {
  @Override
  public String name() {
    return "check";
  }

  @Override
  public String help() {
    return "check rules files and report every problem";
  }

  @Override
  public String example() {
    return "currantslip check rules.txt";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("file").nargs("+").help("rules files");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) {
    List<String> files = args.getList("file");
    for (String file : files) {
      RuleSet rules = CliContext.parse(CliContext.read(file), file);
      context
          .output()
          .show(
              ApplyReply.getDefaultInstance(),
              () -> context.output().line("%s: %d rules, no problem", file, rules.rules().size()));
    }
    return ExitCode.OK;
  }
}
