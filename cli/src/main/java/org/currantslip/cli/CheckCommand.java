package org.currantslip.cli;

import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.adapter.settings.SettingsException;
import org.currantslip.adapter.settings.SettingsLoader;
import org.currantslip.adapter.settings.SettingsProblem;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.EdgeSettings;
import org.currantslip.schema.NodeSettings;

/** Validates rules files or settings files locally, without contacting a node. */
final class CheckCommand implements Command {
  /** Process whose settings a file holds. */
  private enum SettingsKind {
    NODE("node"),
    EDGE("edge");

    private final String argument;

    SettingsKind(String argument) {
      this.argument = argument;
    }
  }

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String help() {
    return "check rules files or settings files and report every problem";
  }

  @Override
  public String example() {
    return "currantslip check rules.txt";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.addArgument("file").nargs("+").help("rules files, or settings files with --settings-of");
    parser
        .addArgument("--settings-of")
        .choices(SettingsKind.NODE.argument, SettingsKind.EDGE.argument)
        .help("check the files as settings of a node or of an edge node instead of rules");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) {
    List<String> files = args.getList("file");
    String settings = args.getString("settings_of");
    for (String file : files) {
      if (settings != null) {
        checkSettings(
            file,
            settings.equals(SettingsKind.EDGE.argument) ? SettingsKind.EDGE : SettingsKind.NODE);
        context
            .output()
            .show(
                ApplyReply.getDefaultInstance(),
                () -> context.output().line("%s: settings are valid", file));
        continue;
      }
      RuleSet rules = CliContext.parse(CliContext.read(file), file);
      context
          .output()
          .show(
              ApplyReply.getDefaultInstance(),
              () -> context.output().line("%s: %d rules, no problems", file, rules.rules().size()));
    }
    return ExitCode.OK;
  }

  private static void checkSettings(String file, SettingsKind kind) {
    String toml = CliContext.read(file);
    try {
      if (kind == SettingsKind.EDGE) {
        EdgeSettings unused = SettingsLoader.loadEdge(toml);
      } else {
        NodeSettings unused = SettingsLoader.loadNode(toml);
      }
    } catch (SettingsException e) {
      throw CliException.of(
          ResultCode.SETTINGS_UNREADABLE,
          e.problems().size() + " problems in settings file " + file,
          e.problems().stream().map(SettingsProblem::toString).toList());
    }
  }
}
