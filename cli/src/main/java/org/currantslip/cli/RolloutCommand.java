package org.currantslip.cli;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.schema.AcceptedConfig;
import org.currantslip.schema.StatusReply;

/** Shows rollouts, and pauses or resumes one by changing the rules. */
final class RolloutCommand implements Command {
  private static final int WAIT_MS = 5_000;

  @Override
  public String name() {
    return "rollout";
  }

  @Override
  public String help() {
    return "show rollouts; pause or resume one by changing the rules";
  }

  @Override
  public String example() {
    return "currantslip rollout pause --model reports --version v3 --asked-by Ana --why odd";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.addArgument("action").choices("show", "pause", "resume").help("action to perform");
    parser.addArgument("--model").setDefault("").help("model name");
    parser.addArgument("--version").setDefault("").help("version of the model");
    parser.addArgument("--stage").type(Integer.class).help("stage to resume from");
    parser.addArgument("--asked-by").setDefault("").help("who requested the change");
    parser.addArgument("--why").setDefault("").help("reason for the change");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    String action = args.getString("action");
    if (action.equals("show")) {
      StatusReply reply = context.client().get("status", StatusReply.getDefaultInstance());
      context
          .output()
          .show(
              reply,
              () -> {
                context.output().view(reply.getView());
                StatusCommand.printRollouts(context.output(), reply);
              });
      return ExitCode.OK;
    }
    String askedBy = requiredArgument(args, "asked_by");
    String subject =
        "model=%s version=%s"
            .formatted(requiredArgument(args, "model"), requiredArgument(args, "version"));
    Integer stage = args.getInt("stage");
    if (action.equals("resume") && stage == null) {
      throw CliException.of(ResultCode.COMMAND_USAGE, "resume requires --stage");
    }
    String line =
        "%s %s%s # %s: %s"
            .formatted(
                action,
                subject,
                action.equals("resume") ? " stage=" + stage : "",
                askedBy,
                requiredArgument(args, "why"));
    ChangeSender sender = ChangeSender.create(context);
    AcceptedConfig current = sender.current();
    String text =
        replaceRolloutLines(
            current.getRulesText(), args.getString("model"), args.getString("version"), line);
    return sender.send(current, text, askedBy, false, WAIT_MS);
  }

  /** Replaces the pause and resume rules of a version with {@code line}. */
  static String replaceRolloutLines(String text, String model, String version, String line) {
    RuleSet rules = CliContext.parse(text, "configuration in force");
    List<Integer> replaced =
        Stream.concat(
                rules
                    .ofKind(Rule.PauseRollout.class)
                    .filter(r -> r.model().equals(model) && r.version().equals(version)),
                rules
                    .ofKind(Rule.ResumeRollout.class)
                    .filter(r -> r.model().equals(model) && r.version().equals(version)))
            .map(r -> r.origin().line())
            .toList();
    List<String> lines = text.lines().toList();
    String kept =
        IntStream.range(0, lines.size())
            .filter(i -> !replaced.contains(i + 1))
            .mapToObj(lines::get)
            .collect(Collectors.joining("\n"));
    return kept + "\n" + line + "\n";
  }

  private static String requiredArgument(Namespace args, String key) {
    String value = args.getString(key);
    if (value.isBlank()) {
      throw CliException.of(
          ResultCode.COMMAND_USAGE, "this action requires --" + key.replace('_', '-') + " VALUE");
    }
    return value;
  }
}
