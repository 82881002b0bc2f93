package org.currantslip.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.CodesReply;

/** Lists the result codes and exit codes. */
final class CodesCommand implements Command {
  @Override
  public String name() {
    return "codes";
  }

  @Override
  public String help() {
    return "list result codes and exit codes";
  }

  @Override
  public String example() {
    return "currantslip codes";
  }

  @Override
  public void addArguments(Subparser parser) {}

  @Override
  public ExitCode run(Namespace args, CliContext context) {
    CodesReply.Builder reply = CodesReply.newBuilder();
    for (ResultCode code : ResultCode.values()) {
      reply
          .addCodeBuilder()
          .setNumber(code.number())
          .setName(code.name())
          .setHttpStatus(code.httpStatus());
    }
    context.output().show(reply.build(), () -> print(context.output()));
    return ExitCode.OK;
  }

  private static void print(Output output) {
    List<List<String>> codes = new ArrayList<>();
    codes.add(List.of("code", "name", "HTTP status"));
    Arrays.stream(ResultCode.values())
        .map(c -> List.of("" + c.number(), c.name(), "" + c.httpStatus()))
        .forEach(codes::add);
    output.table(codes);
    List<List<String>> exits = new ArrayList<>();
    exits.add(List.of("exit code", "meaning"));
    Arrays.stream(ExitCode.values())
        .map(c -> List.of("" + c.number(), c.meaning()))
        .forEach(exits::add);
    output.table(exits);
  }
}
