package org.currantslip.cli;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.AcceptedConfig;

/** Applies a rules file as the configuration of the whole deployment. */
final class ApplyCommand implements Command {
  private static final int DEFAULT_WAIT_MS = 5_000;

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String help() {
    return "apply a rules file and wait until it is in force on every live node";
  }

  @Override
  public String example() {
    return "currantslip apply rules.txt --asked-by 'Ana Ruiz'";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.addArgument("file").help("rules file");
    parser
        .addArgument("--asked-by")
        .setDefault("")
        .help(
            "who requested the change; by default the names in the comments of the changed lines");
    parser
        .addArgument("--base")
        .type(Long.class)
        .help("configuration version that the file is based on; by default the one in force");
    parser
        .addArgument("--dry-run")
        .action(Arguments.storeTrue())
        .help("validate against the configuration in force without applying the change");
    parser
        .addArgument("--wait-ms")
        .type(Integer.class)
        .setDefault(DEFAULT_WAIT_MS)
        .help("maximum time to wait for the change to be in force everywhere, in ms");
  }

  @Override
  public ExitCode run(Namespace args, CliContext context) throws Exception {
    String file = args.getString("file");
    String text = CliContext.read(file);
    CliContext.parse(text, file);
    ChangeSender sender = ChangeSender.create(context);
    AcceptedConfig current = sender.current();
    Long base = args.getLong("base");
    if (base != null && base != current.getVersion()) {
      throw CliException.of(
          ResultCode.CONFIG_CONFLICT,
          "the file is based on %d, but configuration %d by %s is in force"
              .formatted(base, current.getVersion(), current.getAppliedBy()));
    }
    return sender.send(
        current,
        text,
        args.getString("asked_by"),
        args.getBoolean("dry_run"),
        args.getInt("wait_ms"));
  }
}
